#ifndef BRONZESHED_BASE_TIMERSERVICE_H
#define BRONZESHED_BASE_TIMERSERVICE_H

#include "base/clock.h"
#include "base/strongnumber.h"

#include <functional>
#include <map>
#include <optional>
#include <utility>

namespace bronzeshed {

using TimerId = StrongNumber<struct TimerIdTag>;

/**
 * One-shot and periodic timers. The owner of the event loop calls fire() with the current time;
 * callbacks run in the order of their due times. Not thread-safe.
 */
class TimerService
{
public:
    using Callback = std::function<void(TimePoint now)>;

    /** Calls @p callback once at @p due. */
    TimerId once(TimePoint due, Callback callback);

    /** Calls @p callback at @p first and then every @p period. Missed periods yield one call. */
    TimerId every(TimePoint first, Duration period, Callback callback);

    /** Cancels a timer. Has no effect on an unknown or finished timer. */
    void cancel(TimerId id);

    /** Runs all callbacks that are due at @p now. */
    void fire(TimePoint now);

    /** Due time of the next callback; nullopt if there is no timer. */
    std::optional<TimePoint> nextDue() const;

private:
    struct Timer
    {
        Callback callback;
        Duration period;
    };
    using Key = std::pair<TimePoint, TimerId>;

    TimerId add(TimePoint due, Duration period, Callback callback);

    std::map<Key, Timer> timers;
    std::map<TimerId, TimePoint> dueTimes;
    TimerId lastId;
};

} // namespace bronzeshed

#endif
