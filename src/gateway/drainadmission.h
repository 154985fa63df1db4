#ifndef BRONZESHED_GATEWAY_DRAINADMISSION_H
#define BRONZESHED_GATEWAY_DRAINADMISSION_H

#include "base/clock.h"

#include <atomic>

namespace bronzeshed {

/**
 * Decides which requests an instance still accepts after its stop signal.
 *
 * Load pattern: instances are restarted one after the other under load. Callers keep using cached
 * lookup results for a while, so requests still arrive after the signal, and one that cannot finish
 * before the process ends would be cut off.
 *
 * Decides from the time of arrival and not from a flag set by another thread, so a late wake-up of
 * the process accepts nothing that would be cut off. Thread-safe.
 */
class DrainAdmission
{
public:
    /**
     * @param grace time from the stop signal to the forced kill
     * @param lookupValidity time for which callers use cached lookup results
     */
    DrainAdmission(Duration grace, Duration lookupValidity)
        : grace(grace)
        , lookupValidity(lookupValidity)
    {
    }

    /** Records the stop signal; before it, all requests are accepted. */
    void begin(TimePoint signalledAt);

    /** Until when open requests may run; TimePoint::max() before the stop signal. */
    TimePoint end() const;

    /**
     * @param timeLimit time after which the request ends in any case
     * @param target time within which its class is normally answered
     */
    bool accepts(TimePoint now, Duration timeLimit, Duration target) const;

private:
    Duration grace;
    Duration lookupValidity;
    std::atomic<TimePoint> stoppedAt{TimePoint::max()};
};

} // namespace bronzeshed

#endif
