#ifndef BRONZESHED_ROUTING_WORKTIMEESTIMATE_H
#define BRONZESHED_ROUTING_WORKTIMEESTIMATE_H

#include "base/clock.h"

#include <optional>

namespace bronzeshed {

/**
 * Mean time that calls of a class take on an idle upstream at normal speed. Each recorded time is
 * divided by the expected slowdown of its upstream, so calls on all upstreams contribute.
 */
class WorkTimeEstimate
{
public:
    /**
     * @param time from the start of an attempt to its answer
     * @param slowdown expected slowdown of the upstream at the start, at least 1
     */
    void record(Duration time, double slowdown, TimePoint now);

    /**
     * Returns the expected time of a call at an upstream with @p slowdown. Returns nothing while
     * there are too few records or no recent one: a class whose calls are all refused gets none.
     */
    std::optional<Duration> expected(double slowdown, TimePoint now) const;

private:
    double meanNs = 0;
    unsigned records = 0;
    TimePoint recordedAt;
};

} // namespace bronzeshed

#endif
