#include "standins/timerthread.h"

#include <sys/prctl.h>

namespace bronzeshed {

namespace {

/** The default of 50 us would add to every work time. */
constexpr unsigned long TimerSlackNs = 1000;
constexpr std::chrono::seconds LongestWait{1};

} // namespace

TimerThread::TimerThread(TimedHandler &handler)
    : handler(handler)
    , thread([this] { this->run(); })
{
    this->handler.setTimerListener([this] { this->notify(); });
}

TimerThread::~TimerThread()
{
    this->handler.setTimerListener(nullptr);
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->changed.notify_one();
    this->thread.join();
}

void TimerThread::notify()
{
    {
        const std::lock_guard lock(this->mutex);
        this->timerAdded = true;
    }
    this->changed.notify_one();
}

void TimerThread::run()
{
    ::prctl(PR_SET_TIMERSLACK, TimerSlackNs, 0, 0, 0);
    while (true) {
        const TimePoint now = std::chrono::steady_clock::now();
        this->handler.fire(now);
        const TimePoint due = this->handler.nextDue().value_or(now + LongestWait);
        std::unique_lock lock(this->mutex);
        this->changed.wait_until(lock, std::min(due, now + LongestWait),
                                 [this] { return this->timerAdded || this->stopping; });
        this->timerAdded = false;
        if (this->stopping) {
            return;
        }
    }
}

} // namespace bronzeshed
