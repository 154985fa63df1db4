#ifndef BRONZESHED_MODEL_MODELSERVER_H
#define BRONZESHED_MODEL_MODELSERVER_H

#include "base/timerservice.h"
#include "model/speedschedule.h"

#include <deque>
#include <functional>
#include <unordered_map>

namespace bronzeshed {

using JobId = StrongNumber<struct JobIdTag>;

/** A server with a few slots and a queue, whose speed changes without warning. */
class ModelServer
{
public:
    /** @param failed whether the server failed the job at once */
    using DoneCallback = std::function<void(bool failed)>;

    ModelServer(const Clock &clock, TimerService &timers, unsigned slots, std::uint64_t seed);

    JobId submit(Duration work, DoneCallback done);
    /** Ends a job without its callback. @return whether the job was still there */
    bool cancel(JobId id);

    /** Jobs running and waiting. */
    unsigned load() const;
    bool hasFreeSlot() const { return this->running.size() < this->slots && !this->failingFast; }

    void setFailingFast(bool failing) { this->failingFast = failing; }
    void startCold();

    /** Slot time spent on jobs that were cancelled. */
    Duration cancelledTime() const { return this->cancelled; }
    Duration busyTime() const { return this->busy; }

private:
    struct Job
    {
        JobId id;
        Duration work;
        DoneCallback done;
        TimePoint startedAt;
        TimerId timer;
    };

    void start(Job job);
    void startNext();
    void finish(JobId id);

    const Clock &clock;
    TimerService &timers;
    unsigned slots;
    SpeedSchedule speed;
    std::unordered_map<JobId, Job> running;
    std::deque<Job> waiting;
    JobId lastJob;
    bool failingFast = false;
    Duration cancelled = Duration::zero();
    Duration busy = Duration::zero();
};

} // namespace bronzeshed

#endif
