#ifndef BRONZESHED_AGENT_AGENTMETRICS_H
#define BRONZESHED_AGENT_AGENTMETRICS_H

#include "agent/agentstate.h"
#include "metrics/adminport.h"
#include "rpc/controlcounters.h"

namespace bronzeshed {

/** Provides the metrics and the readiness state of an agent for its admin port. */
class AgentMetrics : public AdminSource
{
public:
    AgentMetrics(AgentState &state, const ControlCounters &counters);

    std::string metricsText() override;
    std::string notReadyReason() override;

private:
    AgentState &state;
    const ControlCounters &counters;
};

} // namespace bronzeshed

#endif
