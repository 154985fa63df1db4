#include "routing/queueestimate.h"

#include <algorithm>

namespace bronzeshed {

namespace {

/** Waiting time above which a service is overloaded; half a round trip between regions. */
constexpr std::chrono::milliseconds OverloadWait{20};
/** A call may always wait for 1/MinWaitDivisor of its target, however slow the upstreams are. */
constexpr int MinWaitDivisor = 4;

} // namespace

QueueEstimate::QueueEstimate(const CallQueue &queue, const ServiceTimeEstimate &times,
                             std::size_t slots, std::size_t waitingAtUpstreams)
    : queue(queue)
    , times(times)
    , slots(slots)
    , waitingAtUpstreams(waitingAtUpstreams)
{
}

Duration QueueEstimate::wait(std::size_t calls) const
{
    return *this->times.mean() * static_cast<std::int64_t>(calls + this->waitingAtUpstreams)
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
    // If only the deadline limited the queue, every call of an overloaded service would miss its
    // target.
    const Duration answerWithin = target.answerWithin;
    const Duration longServiceTime = this->times.quantile(target.share).value_or(mean);
    const Duration maxWait
        = std::max(answerWithin - longServiceTime, answerWithin / MinWaitDivisor);
    return expected > maxWait ? Reason::QueueFull : Reason::None;
}

bool QueueEstimate::isOverloaded() const
{
    return this->slots > 0 && this->times.mean() && this->wait(this->queue.size()) > OverloadWait;
}

} // namespace bronzeshed
