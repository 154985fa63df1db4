#include "routing/worktimeestimate.h"

#include <algorithm>

namespace bronzeshed {

namespace {

/** The deviation of the times is as large as their mean, so fewer records give no useful mean. */
constexpr unsigned MinRecords = 10;
/** A new record has a weight of 1/50 once there are as many records. */
constexpr unsigned Smoothing = 50;

} // namespace

void WorkTimeEstimate::record(Duration time, double slowdown)
{
    this->records = std::min(this->records + 1, Smoothing);
    const double idleTimeNs = static_cast<double>(time.count()) / slowdown;
    this->meanNs += (idleTimeNs - this->meanNs) / this->records;
}

std::optional<Duration> WorkTimeEstimate::mean(std::optional<Duration> prior) const
{
    if (!prior && this->records < MinRecords) {
        return std::nullopt;
    }
    const double priorRecords = prior ? MinRecords : 0;
    const double priorNs = prior ? static_cast<double>(prior->count()) : 0;
    const double mean
        = (priorNs * priorRecords + this->meanNs * this->records) / (priorRecords + this->records);
    return Duration(static_cast<Duration::rep>(mean));
}

} // namespace bronzeshed
