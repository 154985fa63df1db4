#include "routing/worktimetable.h"

namespace bronzeshed {

void WorkTimeTable::record(const ClassName &name, Duration time, double slowdown)
{
    this->estimates[name].record(time, slowdown);
}

std::optional<Duration> WorkTimeTable::expected(const ClassName &name, double slowdown) const
{
    std::optional<Duration> known;
    const auto other = this->shared.find(name);
    if (other != this->shared.end()) {
        known = other->second;
    }
    const auto own = this->estimates.find(name);
    if (own != this->estimates.end()) {
        known = own->second.mean(known);
    }
    if (!known) {
        return std::nullopt;
    }
    return Duration(static_cast<Duration::rep>(static_cast<double>(known->count()) * slowdown));
}

WorkTimes WorkTimeTable::own() const
{
    WorkTimes times;
    for (const auto &[name, estimate] : this->estimates) {
        if (const auto mean = estimate.mean(std::nullopt)) {
            times.emplace(name, *mean);
        }
    }
    return times;
}

} // namespace bronzeshed
