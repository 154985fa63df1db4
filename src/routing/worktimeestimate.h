#ifndef BRONZESHED_ROUTING_WORKTIMEESTIMATE_H
#define BRONZESHED_ROUTING_WORKTIMEESTIMATE_H

#include "base/clock.h"

#include <optional>

namespace bronzeshed {

/**
 * Mean time that calls of a class take on an idle upstream at its usual speed, learnt from calls on
 * upstreams of all speeds: each time is divided by the slowdown that was expected of it.
 */
class WorkTimeEstimate
{
public:
    /**
     * @param time from the start of an attempt to its answer
     * @param slowdown expected of the upstream at the start, at least 1
     */
    void record(Duration time, double slowdown, TimePoint now);

    /**
     * Expected time of a call at an upstream with @p slowdown. Nothing before there are enough
     * records, or if none was made recently: a class that is refused as a whole has none.
     */
    std::optional<Duration> expected(double slowdown, TimePoint now) const;

private:
    double meanNs = 0;
    unsigned records = 0;
    TimePoint recordedAt;
};

} // namespace bronzeshed

#endif
