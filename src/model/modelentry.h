#ifndef BRONZESHED_MODEL_MODELENTRY_H
#define BRONZESHED_MODEL_MODELENTRY_H

#include "model/modelresult.h"
#include "model/modelworld.h"
#include "routing/dispatcher.h"

#include <unordered_map>

namespace bronzeshed {

/** An entry of the model: a Dispatcher whose output goes to the modelled servers. */
class ModelEntry : private DispatcherOutput
{
public:
    using EndCallback = std::function<void(const ModelCall &call, Outcome outcome)>;

    ModelEntry(ModelWorld &world, ModelResult &result, std::unique_ptr<SelectionPolicy> policy,
               std::uint64_t seed, EndCallback ended);

    void arrive(const ModelCall &call);
    void update();

private:
    struct OpenAttempt
    {
        ModelServer *server = nullptr;
        std::optional<JobId> job; ///< nothing while the request is on its way
    };

    void startAttempt(const AttemptOrder &order) override;
    void cancelAttempt(AttemptId id) override;
    void finishCall(CallId id, Outcome outcome, Reason reason, AttemptId winner) override;
    bool startProbe(const ProbeOrder &order) override;

    void receive(AttemptId id, Duration work);
    void reply(AttemptId id, AttemptStatus status);

    ModelWorld &world;
    ModelResult &result;
    SeededRandom random;
    EndCallback ended;
    std::unordered_map<CallId, ModelCall> calls;
    std::unordered_map<CallId, unsigned> attemptsOfCall;
    std::unordered_map<AttemptId, OpenAttempt> attempts;
    Dispatcher dispatcher;
};

} // namespace bronzeshed

#endif
