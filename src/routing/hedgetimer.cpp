#include "routing/hedgetimer.h"

namespace bronzeshed {

HedgeTimer::HedgeTimer(TimerService &timers, Callback callback)
    : timers(timers)
    , callback(std::move(callback))
{
}

HedgeTimer::~HedgeTimer()
{
    for (const auto &[call, timer] : this->pending) {
        this->timers.cancel(timer);
    }
}

void HedgeTimer::arm(CallId id, TimePoint due)
{
    this->cancel(id);
    this->pending[id] = this->timers.once(due, [this, id](TimePoint) {
        this->pending.erase(id);
        this->callback(id);
    });
}

void HedgeTimer::cancel(CallId id)
{
    const auto found = this->pending.find(id);
    if (found == this->pending.end()) {
        return;
    }
    this->timers.cancel(found->second);
    this->pending.erase(found);
}

} // namespace bronzeshed
