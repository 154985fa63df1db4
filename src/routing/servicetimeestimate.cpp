#include "routing/servicetimeestimate.h"

#include <algorithm>

namespace bronzeshed {

namespace {

constexpr std::size_t WindowSize = 1000;
constexpr std::size_t MinSamples = 20;
/** Records between two sorts. Sorting at every record would cost more than the decision. */
constexpr std::size_t RecordsPerSort = 50;
/** A new time has a weight of 1/50, smooth enough for a deviation as large as the mean. */
constexpr int Smoothing = 50;
/** An older estimate refuses no calls. Otherwise a service whose calls are all refused would get
 * no new records and stay refused. */
constexpr std::chrono::seconds MaxAge{1};

} // namespace

void ServiceTimeEstimate::record(Duration time, TimePoint now)
{
    this->recordedAt = now;
    this->smoothed = this->smoothed ? *this->smoothed + (time - *this->smoothed) / Smoothing : time;
    if (this->window.size() < WindowSize) {
        this->window.push_back(time);
    } else {
        this->window[this->position] = time;
        this->position = (this->position + 1) % WindowSize;
    }
    ++this->sinceSort;
    if (this->window.size() < MinSamples
        || (this->sinceSort < RecordsPerSort && !this->sorted.empty())) {
        return;
    }
    this->sorted = this->window;
    std::sort(this->sorted.begin(), this->sorted.end());
    this->sinceSort = 0;
}

std::optional<Duration> ServiceTimeEstimate::quantile(double share) const
{
    if (this->sorted.empty()) {
        return std::nullopt;
    }
    const auto rank = static_cast<std::size_t>(share * static_cast<double>(this->sorted.size()));
    return this->sorted[std::min(rank, this->sorted.size() - 1)];
}

bool ServiceTimeEstimate::isRecent(TimePoint now) const
{
    return this->smoothed && now - this->recordedAt <= MaxAge;
}

} // namespace bronzeshed
