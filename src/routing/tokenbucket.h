#ifndef BRONZESHED_ROUTING_TOKENBUCKET_H
#define BRONZESHED_ROUTING_TOKENBUCKET_H

#include "base/clock.h"

#include <algorithm>

namespace bronzeshed {

/** Token bucket with a fixed refill rate and a capacity. Starts empty. */
class TokenBucket
{
public:
    TokenBucket(double perSecond, double capacity, TimePoint now)
        : perSecond(perSecond)
        , capacity(capacity)
        , updatedAt(now)
    {
    }

    void setRate(double newRate, TimePoint now)
    {
        this->refill(now);
        this->perSecond = newRate;
    }

    bool has(double amount, TimePoint now)
    {
        this->refill(now);
        return this->tokens >= amount;
    }

    void take(double amount) { this->tokens -= amount; }

private:
    void refill(TimePoint now)
    {
        const std::chrono::duration<double> passed = now - this->updatedAt;
        this->tokens = std::min(this->capacity, this->tokens + passed.count() * this->perSecond);
        this->updatedAt = now;
    }

    double perSecond;
    double capacity;
    double tokens = 0;
    TimePoint updatedAt;
};

} // namespace bronzeshed

#endif
