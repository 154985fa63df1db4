#ifndef BRONZESHED_STANDINS_TIMERTHREAD_H
#define BRONZESHED_STANDINS_TIMERTHREAD_H

#include "standins/timedhandler.h"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace bronzeshed {

/** Fires the timers of a handler at their due times, on a thread of its own. */
class TimerThread
{
public:
    explicit TimerThread(TimedHandler &handler);
    ~TimerThread();
    TimerThread(const TimerThread &) = delete;
    TimerThread &operator=(const TimerThread &) = delete;

private:
    void run();
    void notify();

    TimedHandler &handler;
    std::mutex mutex;
    std::condition_variable changed;
    bool timerAdded = false;
    bool stopping = false;
    std::thread thread;
};

} // namespace bronzeshed

#endif
