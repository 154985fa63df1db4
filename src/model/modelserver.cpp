#include "model/modelserver.h"

#include <algorithm>

namespace bronzeshed {

namespace {

constexpr std::chrono::seconds ColdTime{1};

} // namespace

ModelServer::ModelServer(const Clock &clock, TimerService &timers, unsigned slots,
                         std::uint64_t seed)
    : clock(clock)
    , timers(timers)
    , slots(slots)
    , speed(seed, clock.now())
{
}

JobId ModelServer::submit(Duration work, DoneCallback done)
{
    this->lastJob = this->lastJob.next();
    if (this->failingFast) {
        done(true);
        return this->lastJob;
    }
    Job job{this->lastJob, work, std::move(done), {}, {}};
    if (this->running.size() < this->slots) {
        this->start(std::move(job));
    } else {
        this->waiting.push_back(std::move(job));
    }
    return this->lastJob;
}

void ModelServer::start(Job job)
{
    job.startedAt = this->clock.now();
    job.timer = this->timers.once(this->speed.finish(job.startedAt, job.work),
                                  [this, id = job.id](TimePoint) { this->finish(id); });
    const JobId id = job.id;
    this->running.emplace(id, std::move(job));
}

void ModelServer::startNext()
{
    if (!this->waiting.empty() && this->running.size() < this->slots) {
        Job job = std::move(this->waiting.front());
        this->waiting.pop_front();
        this->start(std::move(job));
    }
}

void ModelServer::finish(JobId id)
{
    const Job job = std::move(this->running.at(id));
    this->running.erase(id);
    this->busy += this->clock.now() - job.startedAt;
    this->startNext();
    job.done(false);
}

bool ModelServer::cancel(JobId id)
{
    const auto found = this->running.find(id);
    if (found == this->running.end()) {
        return std::erase_if(this->waiting, [&](const Job &job) { return job.id == id; }) > 0;
    }
    const Duration spent = this->clock.now() - found->second.startedAt;
    this->cancelled += spent;
    this->busy += spent;
    this->timers.cancel(found->second.timer);
    this->running.erase(found);
    this->startNext();
    return true;
}

unsigned ModelServer::load() const
{
    return static_cast<unsigned>(this->running.size() + this->waiting.size());
}

void ModelServer::startCold()
{
    this->speed.setColdUntil(this->clock.now() + ColdTime);
}

} // namespace bronzeshed
