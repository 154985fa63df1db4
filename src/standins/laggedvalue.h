#ifndef BRONZESHED_STANDINS_LAGGEDVALUE_H
#define BRONZESHED_STANDINS_LAGGEDVALUE_H

#include "base/clock.h"

#include <deque>
#include <utility>

namespace bronzeshed {

/** A value whose changes become visible only after a lag. */
template<typename Value>
class LaggedValue
{
public:
    explicit LaggedValue(Duration lag = Duration::zero())
        : lag(lag)
    {
    }

    void setLag(Duration newLag) { this->lag = newLag; }

    void set(TimePoint now, Value value)
    {
        this->discardBefore(now);
        this->changes.emplace_back(now, std::move(value));
    }

    /** The value as of one lag before @p now; a default value if nothing was set by then. */
    Value get(TimePoint now)
    {
        this->discardBefore(now);
        const bool visible
            = !this->changes.empty() && this->changes.front().first <= now - this->lag;
        return visible ? this->changes.front().second : Value{};
    }

private:
    /** Drops the changes that a later visible one replaces. */
    void discardBefore(TimePoint now)
    {
        while (this->changes.size() > 1 && this->changes[1].first <= now - this->lag) {
            this->changes.pop_front();
        }
    }

    Duration lag;
    std::deque<std::pair<TimePoint, Value>> changes;
};

} // namespace bronzeshed

#endif
