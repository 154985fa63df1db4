#include "routing/worktimeestimate.h"

#include <algorithm>

namespace bronzeshed {

namespace {

/** Times vary as much as their mean; with fewer records the mean says little. */
constexpr unsigned MinRecords = 10;
/** Weight of a new record, 1 in 50, once there are as many. */
constexpr unsigned Smoothing = 50;
/** An older estimate refuses no call; otherwise a class refused as a whole stayed refused. */
constexpr std::chrono::seconds MaxAge{2};

} // namespace

void WorkTimeEstimate::record(Duration time, double slowdown, TimePoint now)
{
    this->records = std::min(this->records + 1, Smoothing);
    const double usual = static_cast<double>(time.count()) / slowdown;
    this->meanNs += (usual - this->meanNs) / this->records;
    this->recordedAt = now;
}

std::optional<Duration> WorkTimeEstimate::expected(double slowdown, TimePoint now) const
{
    if (this->records < MinRecords || now - this->recordedAt > MaxAge) {
        return std::nullopt;
    }
    return Duration(static_cast<Duration::rep>(this->meanNs * slowdown));
}

} // namespace bronzeshed
