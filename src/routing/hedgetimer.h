#ifndef BRONZESHED_ROUTING_HEDGETIMER_H
#define BRONZESHED_ROUTING_HEDGETIMER_H

#include "base/timerservice.h"

#include <functional>
#include <unordered_map>

namespace bronzeshed {

/** Manages at most one pending hedge timer per call. */
class HedgeTimer
{
public:
    using Callback = std::function<void(CallId id)>;

    HedgeTimer(TimerService &timers, Callback callback);
    ~HedgeTimer();
    HedgeTimer(const HedgeTimer &) = delete;
    HedgeTimer &operator=(const HedgeTimer &) = delete;

    /** Invokes the callback for @p id at @p due. Replaces an earlier timer of the same call. */
    void arm(CallId id, TimePoint due);
    void cancel(CallId id);

private:
    TimerService &timers;
    Callback callback;
    std::unordered_map<CallId, TimerId> pending;
};

} // namespace bronzeshed

#endif
