#include "routing/callqueue.h"

#include <algorithm>
#include <limits>

namespace bronzeshed {

namespace {

/** Weight of one start in the smoothed shares of the classes. */
constexpr double ShareWeight = 1.0 / 200;

} // namespace

void CallQueue::push(const ClassName &className, TimePoint deadline, CallId id)
{
    ClassQueue &queue = this->classes[className];
    if (queue.calls.empty()) {
        // A class accumulates no credit while it has no waiting calls.
        queue.starts = std::max(queue.starts, this->lastStart);
    }
    queue.calls.emplace(deadline, id);
    ++this->waiting;
}

void CallQueue::erase(const ClassName &className, TimePoint deadline, CallId id)
{
    const auto found = this->classes.find(className);
    if (found != this->classes.end()) {
        this->waiting -= found->second.calls.erase(Key(deadline, id));
    }
}

void CallQueue::start(const ClassName &className, TimePoint deadline, CallId id)
{
    this->erase(className, deadline, id);
    for (auto &[name, queue] : this->classes) {
        queue.share *= 1 - ShareWeight;
    }
    ClassQueue &started = this->classes[className];
    started.share += ShareWeight;
    this->lastStart = ++started.starts;
}

std::optional<CallId> CallQueue::next() const
{
    const ClassQueue *earliestDeadline = nullptr;
    const ClassQueue *leastServed = nullptr;
    for (const auto &[name, queue] : this->classes) {
        if (queue.calls.empty()) {
            continue;
        }
        if (earliestDeadline == nullptr
            || *queue.calls.begin() < *earliestDeadline->calls.begin()) {
            earliestDeadline = &queue;
        }
        if (leastServed == nullptr || queue.starts < leastServed->starts) {
            leastServed = &queue;
        }
    }
    if (earliestDeadline == nullptr) {
        return std::nullopt;
    }
    const bool exceedsMaxLead = earliestDeadline->starts - leastServed->starts >= MaxLead;
    return (exceedsMaxLead ? leastServed : earliestDeadline)->calls.begin()->second;
}

std::size_t CallQueue::earlierCalls(const ClassQueue &queue, TimePoint deadline)
{
    // A new call usually has the latest deadline, so counting from the end takes few steps.
    const auto later
        = queue.calls.upper_bound(Key(deadline, CallId(std::numeric_limits<std::uint64_t>::max())));
    return queue.calls.size() - static_cast<std::size_t>(std::distance(later, queue.calls.end()));
}

std::size_t CallQueue::otherCallsAhead(const ClassName &className, std::size_t ownAhead,
                                       TimePoint deadline) const
{
    std::size_t ahead = 0;
    for (const auto &[name, queue] : this->classes) {
        if (name != className) {
            ahead += std::min<std::size_t>(earlierCalls(queue, deadline), ownAhead + MaxLead);
        }
    }
    return ahead;
}

std::size_t CallQueue::callsAhead(const ClassName &className, TimePoint deadline) const
{
    const auto own = this->classes.find(className);
    if (own == this->classes.end()) {
        return this->otherCallsAhead(className, 0, deadline);
    }
    const std::size_t ownAhead = earlierCalls(own->second, deadline);
    const std::size_t ahead = ownAhead + this->otherCallsAhead(className, ownAhead, deadline);
    const double equalShare = 1.0 / static_cast<double>(this->classes.size());
    const double share = std::max(own->second.share, equalShare);
    return static_cast<std::size_t>(static_cast<double>(ahead) / share);
}

} // namespace bronzeshed
