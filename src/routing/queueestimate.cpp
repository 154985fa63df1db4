#include "routing/queueestimate.h"

#include <algorithm>

namespace bronzeshed {

namespace {

/** Half of a round trip between regions. */
constexpr std::chrono::milliseconds OverloadWait{20};
/** Part of its target that a call may always wait in the queue, however slow the upstreams are. */
constexpr int MinWaitShare = 4;

} // namespace

QueueEstimate::QueueEstimate(const CallQueue &queue, const ServiceTimeEstimate &times,
                             std::size_t slots, std::size_t waitingThere)
    : queue(queue)
    , times(times)
    , slots(slots)
    , waitingThere(waitingThere)
{
}

Duration QueueEstimate::wait(std::size_t calls) const
{
    return *this->times.mean() * static_cast<std::int64_t>(calls + this->waitingThere)
        / static_cast<std::int64_t>(this->slots);
}

Reason QueueEstimate::refusal(const ClassTarget &target, Duration timeLeft, TimePoint now) const
{
    if (timeLeft <= Duration::zero()) {
        return Reason::DeadlineTooShort;
    }
    if (this->slots == 0 || !this->times.isRecent(now)) {
        return Reason::None;
    }
    const Duration mean = *this->times.mean();
    const Duration expected = this->wait(this->queue.callsAhead(target.name, now + timeLeft));
    if (expected + mean > timeLeft) {
        return Reason::DeadlineTooShort;
    }
    // A queue as long as the deadline allows would make every call of an overloaded service late.
    const Duration answerWithin = target.answerWithin;
    const Duration longService = this->times.quantile(target.share).value_or(mean);
    const Duration maxWait = std::max(answerWithin - longService, answerWithin / MinWaitShare);
    return expected > maxWait ? Reason::QueueFull : Reason::None;
}

bool QueueEstimate::isOverloaded() const
{
    return this->slots > 0 && this->times.mean() && this->wait(this->queue.size()) > OverloadWait;
}

} // namespace bronzeshed
