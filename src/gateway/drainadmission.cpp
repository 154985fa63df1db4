#include "gateway/drainadmission.h"

namespace bronzeshed {

namespace {

/** Share of the grace period for open requests; the rest is for closing connections. */
constexpr double ServingShare = 0.9;
/**
 * Multiple of the target within which nearly all calls of a class end. Only used while callers
 * still hold lookup results: later, the whole time limit must fit.
 */
constexpr int TargetMultiple = 3;

} // namespace

void DrainAdmission::begin(TimePoint signalledAt)
{
    this->stoppedAt.store(signalledAt);
}

TimePoint DrainAdmission::end() const
{
    const TimePoint stopped = this->stoppedAt.load();
    if (stopped == TimePoint::max()) {
        return stopped;
    }
    return stopped + std::chrono::duration_cast<Duration>(this->grace * ServingShare);
}

bool DrainAdmission::accepts(TimePoint now, Duration timeLimit, Duration target) const
{
    const TimePoint stopped = this->stoppedAt.load();
    if (stopped == TimePoint::max()) {
        return true;
    }
    const Duration left = this->end() - now;
    if (timeLimit <= left) {
        return true;
    }
    return now - stopped < this->lookupValidity && target * TargetMultiple <= left;
}

} // namespace bronzeshed
