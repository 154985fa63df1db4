#include "model/modelresult.h"

#include <algorithm>

namespace bronzeshed {

void ModelResult::addCall(const ClassName &name, Outcome outcome, Duration time, Duration target)
{
    ClassCount &count = this->classes[name];
    ++count.calls;
    ++this->total;
    if (outcome == Outcome::NotRun) {
        ++this->notRun;
    }
    if (outcome != Outcome::Answered) {
        return;
    }
    ++count.answered;
    this->withinTarget += time <= target ? 1 : 0;
    this->times.push_back(time);
    this->sorted = false;
}

Duration ModelResult::quantile(double share) const
{
    if (this->times.empty()) {
        return Duration::zero();
    }
    if (!this->sorted) {
        std::sort(this->times.begin(), this->times.end());
        this->sorted = true;
    }
    const auto rank = static_cast<std::size_t>(share * static_cast<double>(this->times.size()));
    return this->times[std::min(rank, this->times.size() - 1)];
}

double ModelResult::shareWithinTarget() const
{
    const std::uint64_t admitted = this->total - this->notRun;
    return admitted == 0 ? 0 : static_cast<double>(this->withinTarget) / admitted;
}

double ModelResult::shareNotRun() const
{
    return this->total == 0 ? 0 : static_cast<double>(this->notRun) / this->total;
}

double ModelResult::leastServedShare() const
{
    double least = 1;
    for (const auto &[name, count] : this->classes) {
        least = std::min(least, static_cast<double>(count.answered) / count.calls);
    }
    return least;
}

} // namespace bronzeshed
