#include "routing/worktimeestimate.h"

#include <algorithm>

namespace bronzeshed {

namespace {

/** The deviation of the times is as large as their mean, so fewer records give no useful mean. */
constexpr unsigned MinRecords = 10;
/** A new record has a weight of 1/50 once there are as many records. */
constexpr unsigned Smoothing = 50;
/** An older estimate refuses no calls. Otherwise a class whose calls are all refused would get no
 * new records and stay refused. */
constexpr std::chrono::seconds MaxAge{2};

} // namespace

void WorkTimeEstimate::record(Duration time, double slowdown, TimePoint now)
{
    this->records = std::min(this->records + 1, Smoothing);
    const double idleTimeNs = static_cast<double>(time.count()) / slowdown;
    this->meanNs += (idleTimeNs - this->meanNs) / this->records;
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
