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
    void record(Duration time, double slowdown);

    /**
     * Returns the mean, or nothing with too few records.
     * @param prior mean from another source; counts like the smallest sufficient number of records
     */
    std::optional<Duration> mean(std::optional<Duration> prior) const;

private:
    double meanNs = 0;
    unsigned records = 0;
};

} // namespace bronzeshed

#endif
