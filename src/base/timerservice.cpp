#include "base/timerservice.h"

namespace bronzeshed {

TimerId TimerService::once(TimePoint due, Callback callback)
{
    return this->add(due, Duration::zero(), std::move(callback));
}

TimerId TimerService::every(TimePoint first, Duration period, Callback callback)
{
    return this->add(first, period, std::move(callback));
}

TimerId TimerService::add(TimePoint due, Duration period, Callback callback)
{
    this->lastId = this->lastId.next();
    this->timers.emplace(Key(due, this->lastId), Timer{std::move(callback), period});
    this->dueTimes.emplace(this->lastId, due);
    return this->lastId;
}

void TimerService::cancel(TimerId id)
{
    const auto found = this->dueTimes.find(id);
    if (found == this->dueTimes.end()) {
        return;
    }
    this->timers.erase(Key(found->second, id));
    this->dueTimes.erase(found);
}

void TimerService::fire(TimePoint now)
{
    while (!this->timers.empty() && this->timers.begin()->first.first <= now) {
        auto node = this->timers.extract(this->timers.begin());
        const TimerId id = node.key().second;
        Callback callback = node.mapped().callback;
        const Duration period = node.mapped().period;
        if (period > Duration::zero()) {
            node.key().first = now + period;
            this->dueTimes[id] = node.key().first;
            this->timers.insert(std::move(node));
        } else {
            this->dueTimes.erase(id);
        }
        callback(now);
    }
}

std::optional<TimePoint> TimerService::nextDue() const
{
    if (this->timers.empty()) {
        return std::nullopt;
    }
    return this->timers.begin()->first.first;
}

} // namespace bronzeshed
