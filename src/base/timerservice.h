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
 * Timers that parts of a program subscribe to. The owner of the event loop calls fire() with the
 * current time; callbacks run in the order of their due times. Not thread-safe.
 */
class TimerService
{
public:
    using Callback = std::function<void(TimePoint now)>;

    /** Calls @p callback once at @p due. */
    TimerId once(TimePoint due, Callback callback);

    /** Calls @p callback every @p period, first at @p first. Missed periods are merged into one. */
    TimerId every(TimePoint first, Duration period, Callback callback);

    /** Removes a timer. Unknown and finished timers are ignored. */
    void cancel(TimerId id);

    /** Runs all callbacks due at @p now. */
    void fire(TimePoint now);

    /** When the next callback is due, or nothing if there is no timer. */
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
