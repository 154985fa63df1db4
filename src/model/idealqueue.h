#ifndef BRONZESHED_MODEL_IDEALQUEUE_H
#define BRONZESHED_MODEL_IDEALQUEUE_H

#include "model/modelresult.h"
#include "model/modelworld.h"

#include <deque>

namespace bronzeshed {

/**
 * Bound for every policy: one queue in order of arrival beside the servers that sees each slot's
 * state without delay, so no slot is idle while a call waits. Does not foresee slow phases.
 */
class IdealQueue
{
public:
    using EndCallback = std::function<void(const ModelCall &call, Outcome outcome)>;

    IdealQueue(ModelWorld &world, EndCallback ended);

    void arrive(const ModelCall &call);

private:
    void startWaiting();
    ModelServer *freeServer();

    ModelWorld &world;
    EndCallback ended;
    std::deque<ModelCall> waiting;
};

} // namespace bronzeshed

#endif
