#include "standins/timedhandler.h"

namespace bronzeshed {

void TimedHandler::fire(TimePoint now)
{
    const std::lock_guard lock(this->mutex);
    this->timers.fire(now);
}

std::optional<TimePoint> TimedHandler::nextDue()
{
    const std::lock_guard lock(this->mutex);
    return this->timers.nextDue();
}

void TimedHandler::setTimerListener(std::function<void()> listener)
{
    const std::lock_guard lock(this->mutex);
    this->timerListener = std::move(listener);
}

TimerId TimedHandler::after(Duration delay, std::function<void()> callback)
{
    const TimerId id = this->timers.once(
        this->clock.now() + delay, [callback = std::move(callback)](TimePoint) { callback(); });
    if (this->timerListener) {
        this->timerListener();
    }
    return id;
}

} // namespace bronzeshed
