#ifndef BRONZESHED_GATEWAY_STOREHEALTH_H
#define BRONZESHED_GATEWAY_STOREHEALTH_H

#include "base/clock.h"

#include <mutex>
#include <string>

namespace bronzeshed {

/** Limit of each call to the store; the wait of a watch is added to it. */
inline constexpr std::chrono::milliseconds StoreTimeout{1000};

/** Tracks from the store calls of all threads whether the store is reachable. Thread-safe. */
class StoreHealth
{
public:
    /** Records that a call received a response. */
    void recordSuccess(TimePoint now);
    /** Records that a call failed with @p error. */
    void recordFailure(const std::string &error, TimePoint now);

    /**
     * Makes the next caller check whether the store is reachable, without a failed call: the relays
     * of the zone have lost it.
     */
    void recordDoubt(const std::string &reason);

    bool isReachable() const;
    /** Whether a call failed within @p span before @p now. */
    bool failedWithin(Duration span, TimePoint now) const;
    /** Whether the store is reachable and a call succeeded within @p span before @p now. */
    bool succeededWithin(Duration span, TimePoint now) const;

private:
    mutable std::mutex mutex;
    bool reachable = true;
    bool everFailed = false;
    TimePoint lastFailure;
    TimePoint lastSuccess;
};

} // namespace bronzeshed

#endif
