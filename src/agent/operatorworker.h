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

/** Runs blocking jobs one at a time on its own thread. */
class OperatorWorker
{
public:
    using Job = std::function<void()>;

    /**
     * Starts the thread, which calls @p maintenance every @p period between jobs.
     * @param capacity maximum number of waiting jobs
     */
    OperatorWorker(std::size_t capacity, std::chrono::milliseconds period, Job maintenance);
    ~OperatorWorker();
    OperatorWorker(const OperatorWorker &) = delete;
    OperatorWorker &operator=(const OperatorWorker &) = delete;

    /** Queues a job. @return false if the queue is full or the worker is stopping */
    bool tryRun(Job job);

    /** Runs the queued jobs and stops the thread. */
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
