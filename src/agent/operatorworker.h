#ifndef BRONZESHED_AGENT_OPERATORWORKER_H
#define BRONZESHED_AGENT_OPERATORWORKER_H

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace bronzeshed {

/** Runs jobs that block on the store, one after the other, on a thread of its own. */
class OperatorWorker
{
public:
    using Job = std::function<void()>;

    /** Calls @p maintenance every @p period between jobs. */
    OperatorWorker(std::size_t capacity, std::chrono::milliseconds period, Job maintenance);
    ~OperatorWorker();
    OperatorWorker(const OperatorWorker &) = delete;
    OperatorWorker &operator=(const OperatorWorker &) = delete;

    /** @return false if too many jobs wait or the worker is stopping */
    bool tryRun(Job job);

    /** Runs the jobs that wait and ends the thread. */
    void stop();

private:
    void run();

    std::size_t capacity;
    std::chrono::milliseconds period;
    Job maintenance;
    std::mutex mutex;
    std::condition_variable changed;
    std::deque<Job> jobs;
    bool stopping = false;
    std::thread thread;
};

} // namespace bronzeshed

#endif
