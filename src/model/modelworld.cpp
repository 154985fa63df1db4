#include "model/modelworld.h"

#include <cmath>

namespace bronzeshed {

namespace {

/** Keeps the numbers of the servers apart from those of the arrivals. */
constexpr std::uint64_t ServerSeedStep = 1000003;
constexpr double ReadShare = 0.7;
constexpr std::chrono::milliseconds ReadTarget{50};
constexpr std::chrono::milliseconds OrderTarget{100};
constexpr int DeadlineFactor = 10;
constexpr std::uint16_t FirstPort = 1;
constexpr std::uint16_t ReplacementPort = 20000;
/** Parts of the run at which faults begin and end. */
constexpr double FailFastFrom = 0.3;
constexpr double FailFastUntil = 0.4;
constexpr double ReplacedAt = 0.6;
constexpr std::size_t FailingServer = 0;
constexpr std::size_t ReplacedServer = 1;

ClassTarget makeClass(const char *name, std::chrono::milliseconds target, bool repeatable)
{
    ClassTarget result;
    result.name = ClassName(name);
    result.service = ServiceName("service");
    result.answerWithin = target;
    result.repeatable = repeatable;
    result.deadline = target * DeadlineFactor;
    return result;
}

Duration exponential(Random &random, double mean)
{
    return Duration(static_cast<std::int64_t>(-std::log(1 - random.uniform()) * mean));
}

} // namespace

ModelWorld::ModelWorld(const ModelOptions &options)
    : options(options)
    , arrivals(options.seed)
    , end(this->clock.now() + options.duration)
{
    this->declaration.services.insert(ServiceName("service"));
    for (const ClassTarget &target :
         {makeClass("reads", ReadTarget, true), makeClass("orders", OrderTarget, false)}) {
        this->declaration.classes.emplace(target.name, target);
    }
    for (unsigned i = 0; i < options.servers; ++i) {
        const std::uint64_t seed = options.seed + ServerSeedStep * (i + 1);
        this->servers.push_back(
            std::make_unique<ModelServer>(this->clock, this->timers, options.slots, seed));
        UpstreamInfo info;
        info.id = UpstreamId(std::to_string(i));
        info.service = ServiceName("service");
        info.endpoint = Endpoint{"127.0.0.1", static_cast<std::uint16_t>(FirstPort + i)};
        this->infos.push_back(info);
    }
}

Duration ModelWorld::drawWork(Random &source) const
{
    return exponential(source, static_cast<double>(this->options.meanWork.count()));
}

void ModelWorld::deliver(std::function<void()> action)
{
    this->timers.once(this->clock.now() + this->options.oneWay,
                      [action = std::move(action)](TimePoint) { action(); });
}

void ModelWorld::scheduleFaults()
{
    const auto at = [&](double part) {
        return this->clock.now()
            + Duration(static_cast<std::int64_t>(this->options.duration.count() * part));
    };
    this->timers.once(at(FailFastFrom),
                      [this](TimePoint) { this->servers[FailingServer]->setFailingFast(true); });
    this->timers.once(at(FailFastUntil),
                      [this](TimePoint) { this->servers[FailingServer]->setFailingFast(false); });
    this->timers.once(at(ReplacedAt), [this](TimePoint) {
        this->servers[ReplacedServer]->startCold();
        this->infos[ReplacedServer].endpoint.port = ReplacementPort;
        this->upstreamsChanged();
    });
}

void ModelWorld::scheduleArrival(const ArrivalCallback &arrive)
{
    const double capacity = this->options.servers * this->options.slots * SpeedSchedule::MeanSpeed
        / static_cast<double>(this->options.meanWork.count());
    const Duration gap = exponential(this->arrivals, 1 / (capacity * this->options.load));
    const TimePoint due = this->clock.now() + gap;
    if (due >= this->end) {
        return;
    }
    this->timers.once(due, [this, arrive](TimePoint now) {
        const bool isRead = this->arrivals.uniform() < ReadShare;
        this->lastCall = this->lastCall.next();
        ModelCall call;
        call.id = this->lastCall;
        call.target = &this->declaration.classes.at(ClassName(isRead ? "reads" : "orders"));
        call.arrival = now;
        call.work = this->drawWork(this->arrivals);
        this->scheduleArrival(arrive);
        arrive(call);
    });
}

void ModelWorld::run(const ArrivalCallback &arrive)
{
    if (this->options.scenario == Scenario::Faults) {
        this->scheduleFaults();
    }
    this->scheduleArrival(arrive);
    while (const auto due = this->timers.nextDue()) {
        this->clock.set(*due);
        this->timers.fire(*due);
    }
}

} // namespace bronzeshed
