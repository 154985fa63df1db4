#ifndef BRONZESHED_AGENT_INSTANCELISTREADER_H
#define BRONZESHED_AGENT_INSTANCELISTREADER_H

#include "agent/agentstate.h"
#include "platform/instancelist.h"
#include "rpc/controlcounters.h"

namespace bronzeshed {

/** Reads the instance list every 2 s. The last list stays in use while reads fail. */
class InstanceListReader
{
public:
    InstanceListReader(const Clock &clock, InstanceList &list, AgentState &state,
                       ControlCounters &counters);

    /** Reads the list once. @return how long to wait before the next step */
    Duration step();

private:
    const Clock &clock;
    InstanceList &list;
    AgentState &state;
    ControlCounters &counters;
    std::uint64_t revision = 0;
    unsigned failures = 0;
};

} // namespace bronzeshed

#endif
