#include "agent/operatorworker.h"

#include "base/logline.h"

#include <exception>

namespace bronzeshed {

namespace {

/** Logs exceptions of a job. Its HTTP exchange sends an error response when it is destroyed. */
void runGuarded(const OperatorWorker::Job &job)
{
    try {
        job();
    } catch (const std::exception &error) {
        LogLine("operator_job_failed", LogLevel::Error).add("error", error.what());
    }
}

} // namespace

OperatorWorker::OperatorWorker(std::size_t capacity, std::chrono::milliseconds period,
                               Job maintenance)
    : capacity(capacity)
    , period(period)
    , maintenance(std::move(maintenance))
    , thread([this] { this->run(); })
{
}

OperatorWorker::~OperatorWorker()
{
    this->stop();
}

bool OperatorWorker::tryRun(Job job)
{
    const std::lock_guard lock(this->mutex);
    if (this->stopping || this->jobs.size() >= this->capacity) {
        return false;
    }
    this->jobs.push_back(std::move(job));
    this->changed.notify_one();
    return true;
}

void OperatorWorker::stop()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
        this->changed.notify_one();
    }
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

void OperatorWorker::run()
{
    auto due = std::chrono::steady_clock::now() + this->period;
    std::unique_lock lock(this->mutex);
    while (!this->stopping || !this->jobs.empty()) {
        this->changed.wait_until(lock, due,
                                 [this] { return this->stopping || !this->jobs.empty(); });
        if (!this->jobs.empty()) {
            const Job job = std::move(this->jobs.front());
            this->jobs.pop_front();
            lock.unlock();
            runGuarded(job);
            lock.lock();
        }
        if (!this->stopping && std::chrono::steady_clock::now() >= due) {
            lock.unlock();
            runGuarded(this->maintenance);
            lock.lock();
            due = std::chrono::steady_clock::now() + this->period;
        }
    }
}

} // namespace bronzeshed
