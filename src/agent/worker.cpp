#include "agent/worker.h"

#include "base/logline.h"

namespace bronzeshed {

namespace {

constexpr std::chrono::seconds PauseAfterError{1};

} // namespace

Worker::Worker(std::string name, std::function<Duration()> step)
    : name(std::move(name))
    , step(std::move(step))
    , thread([this] { this->run(); })
{
}

Worker::~Worker()
{
    this->stop();
}

void Worker::stop()
{
    this->stopping.store(true);
    this->wakeup.notify();
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

void Worker::run()
{
    while (!this->stopping.load()) {
        this->wakeup.wait(this->runStep());
    }
}

// Separate from run(): with "pause = step()" in a try block, GCC 12 overwrites pause when step
// throws.
Duration Worker::runStep()
{
    try {
        return this->step();
    } catch (const std::exception &error) {
        LogLine("worker_step_failed", LogLevel::Error)
            .add("worker", this->name)
            .add("error", error.what());
    }
    return PauseAfterError;
}

} // namespace bronzeshed
