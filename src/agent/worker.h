#ifndef BRONZESHED_AGENT_WORKER_H
#define BRONZESHED_AGENT_WORKER_H

#include "base/wakeup.h"

#include <atomic>
#include <functional>
#include <string>
#include <thread>

namespace bronzeshed {

/** Thread that repeats a step and sleeps in between. Exceptions of a step are logged. */
class Worker
{
public:
    /**
     * @param name identifies the thread in log lines
     * @param step runs once per iteration and returns how long to sleep before the next one
     */
    Worker(std::string name, std::function<Duration()> step);
    ~Worker();
    Worker(const Worker &) = delete;
    Worker &operator=(const Worker &) = delete;

    void stop();

private:
    void run();
    Duration runStep();

    std::string name;
    std::function<Duration()> step;
    Wakeup wakeup;
    std::atomic<bool> stopping{false};
    std::thread thread;
};

} // namespace bronzeshed

#endif
