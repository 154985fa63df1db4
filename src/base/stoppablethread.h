#ifndef BRONZESHED_BASE_STOPPABLETHREAD_H
#define BRONZESHED_BASE_STOPPABLETHREAD_H

#include <functional>
#include <thread>

namespace bronzeshed {

/**
 * Thread that runs a loop until it is stopped. It is stopped and joined at the end of its scope at
 * the latest, so that a process can still end in order if a part constructed later fails.
 */
class StoppableThread
{
public:
    /** @param stopLoop makes @p loop return; called once */
    StoppableThread(std::function<void()> loop, std::function<void()> stopLoop)
        : stopLoop(std::move(stopLoop))
        , thread(std::move(loop))
    {
    }
    ~StoppableThread() { this->stop(); }
    StoppableThread(const StoppableThread &) = delete;
    StoppableThread &operator=(const StoppableThread &) = delete;

    void stop()
    {
        if (this->thread.joinable()) {
            this->stopLoop();
            this->thread.join();
        }
    }

private:
    std::function<void()> stopLoop;
    std::thread thread;
};

} // namespace bronzeshed

#endif
