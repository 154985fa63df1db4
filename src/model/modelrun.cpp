#include "model/modelrun.h"

#include "model/idealqueue.h"
#include "model/modelentry.h"

namespace bronzeshed {

namespace {

/** Part of the run before measuring starts, while the estimates are learnt. */
constexpr int WarmUpDivisor = 10;
constexpr double ProbeSeconds = 0.006;

double seconds(Duration time)
{
    return std::chrono::duration<double>(time).count();
}

void addServerFigures(ModelResult &result, const ModelWorld &world)
{
    double cancelled = 0;
    double busy = 0;
    for (const auto &server : world.servers) {
        cancelled += seconds(server->cancelledTime());
        busy += seconds(server->busyTime());
    }
    const double slotTime
        = world.options.servers * world.options.slots * seconds(world.options.duration);
    result.cancelledShare = busy == 0 ? 0 : cancelled / busy;
    result.probeShare = result.probes * ProbeSeconds / slotTime;
}

void runEntries(ModelWorld &world, const ModelPolicy &policy, ModelResult &result,
                const ModelEntry::EndCallback &ended)
{
    const unsigned count = policy.oneOwner ? 1 : world.options.entries;
    SeededRandom random(world.options.seed + 1);
    std::vector<std::unique_ptr<ModelEntry>> entries;
    for (unsigned i = 0; i < count; ++i) {
        entries.push_back(
            std::make_unique<ModelEntry>(world, result, policy.make(), random.next(), ended));
    }
    world.upstreamsChanged = [&] {
        for (const auto &entry : entries) {
            entry->update();
        }
    };
    world.run([&](const ModelCall &call) { entries[random.below(count)]->arrive(call); });
}

} // namespace

ModelResult runModel(const ModelOptions &options, const ModelPolicy &policy)
{
    ModelWorld world(options);
    ModelResult result;
    const TimePoint measureFrom = world.clock.now() + options.duration / WarmUpDivisor;
    const auto ended = [&](const ModelCall &call, Outcome outcome) {
        if (call.arrival >= measureFrom) {
            result.addCall(call.target->name, outcome, world.clock.now() - call.arrival,
                           call.target->answerWithin);
        }
    };
    if (policy.make == nullptr) {
        IdealQueue queue(world, ended);
        world.upstreamsChanged = [] {};
        world.run([&](const ModelCall &call) { queue.arrive(call); });
    } else {
        runEntries(world, policy, result, ended);
    }
    addServerFigures(result, world);
    return result;
}

} // namespace bronzeshed
