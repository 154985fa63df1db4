#include "routing/queuedattempts.h"

namespace bronzeshed {

QueuedAttemptId QueuedAttempts::add()
{
    this->lastId = this->lastId.next();
    this->waiting = this->lastId;
    return this->lastId;
}

void QueuedAttempts::slotFreed(TimePoint now)
{
    if (this->waiting) {
        this->started.emplace(*this->waiting, now);
        this->waiting.reset();
    }
}

std::optional<TimePoint> QueuedAttempts::remove(QueuedAttemptId id)
{
    if (this->waiting == id) {
        this->waiting.reset();
    }
    const auto found = this->started.find(id);
    if (found == this->started.end()) {
        return std::nullopt;
    }
    const TimePoint start = found->second;
    this->started.erase(found);
    return start;
}

} // namespace bronzeshed
