#ifndef BRONZESHED_MODEL_MODELWORLD_H
#define BRONZESHED_MODEL_MODELWORLD_H

#include "base/random.h"
#include "base/timerservice.h"
#include "config/declaration.h"
#include "membership/controlstate.h"
#include "model/modeloptions.h"
#include "model/modelserver.h"

#include <memory>
#include <vector>

namespace bronzeshed {

/** A call that arrives in the model. */
struct ModelCall
{
    CallId id;
    const ClassTarget *target = nullptr;
    TimePoint arrival;
    Duration work = Duration::zero();
};

/** Virtual time, servers and arrivals of one run. The same seed gives every policy the same. */
class ModelWorld
{
public:
    using ArrivalCallback = std::function<void(const ModelCall &call)>;

    explicit ModelWorld(const ModelOptions &options);

    /** Runs until all calls have ended. */
    void run(const ArrivalCallback &arrive);

    /** Runs @p action after the time that a message between entry and server takes. */
    void deliver(std::function<void()> action);

    Duration drawWork(Random &source) const;
    /** Upstreams as the instance list shows them now. */
    const std::vector<UpstreamInfo> &upstreams() const { return this->infos; }
    /** Called after upstreams() changed. */
    std::function<void()> upstreamsChanged;

    ModelOptions options;
    ManualClock clock;
    TimerService timers;
    Declaration declaration;
    std::vector<std::unique_ptr<ModelServer>> servers;

private:
    void scheduleFaults();
    void scheduleArrival(const ArrivalCallback &arrive);

    SeededRandom arrivals;
    TimePoint end;
    CallId lastCall;
    std::vector<UpstreamInfo> infos;
};

} // namespace bronzeshed

#endif
