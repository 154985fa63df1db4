#ifndef BRONZESHED_STANDINS_TIMEDHANDLER_H
#define BRONZESHED_STANDINS_TIMEDHANDLER_H

#include "base/timerservice.h"
#include "http/httpserver.h"

#include <functional>
#include <mutex>
#include <optional>

namespace bronzeshed {

/** HTTP handler with timers. Its owner fires them, a TimerThread in the binaries. */
class TimedHandler : public HttpHandler
{
public:
    explicit TimedHandler(const Clock &clock)
        : clock(clock)
    {
    }

    /** Runs the timers that are due. */
    void fire(TimePoint now);
    std::optional<TimePoint> nextDue();
    /** Sets what is called, with the handler locked, when a timer is added. */
    void setTimerListener(std::function<void()> listener);

protected:
    /** Adds a timer; the callback runs with the handler locked. */
    TimerId after(Duration delay, std::function<void()> callback);

    const Clock &clock;
    std::mutex mutex;
    TimerService timers;

private:
    std::function<void()> timerListener;
};

} // namespace bronzeshed

#endif
