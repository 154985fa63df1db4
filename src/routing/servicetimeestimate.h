#ifndef BRONZESHED_ROUTING_SERVICETIMEESTIMATE_H
#define BRONZESHED_ROUTING_SERVICETIMEESTIMATE_H

#include "base/clock.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace bronzeshed {

/** Mean and quantiles of the recent service times of one service, measured at the entry. */
class ServiceTimeEstimate
{
public:
    void record(Duration time, TimePoint now);

    /** Exponentially smoothed mean; nothing before the first record. */
    std::optional<Duration> mean() const { return this->smoothed; }

    /** Quantile of the recent times for @p share in [0, 1]; nothing while there are too few. */
    std::optional<Duration> quantile(double share) const;

    /** Whether the newest record is recent enough to refuse calls based on the estimate. */
    bool isRecent(TimePoint now) const;

private:
    std::optional<Duration> smoothed;
    TimePoint recordedAt;
    std::vector<Duration> window; ///< ring buffer of the newest times
    std::size_t position = 0;
    std::size_t sinceSort = 0;
    std::vector<Duration>
        sorted; ///< sorted copy of the window, updated every RecordsPerSort records
};

} // namespace bronzeshed

#endif
