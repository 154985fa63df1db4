#ifndef BRONZESHED_AGENT_INSTANCELISTREADER_H
#define BRONZESHED_AGENT_INSTANCELISTREADER_H

#include "agent/agentstate.h"
#include "platform/instancelist.h"
#include "rpc/controlcounters.h"

namespace bronzeshed {

/** Reads the instance list every 2 s. Keeps the last list while it does not answer. */
class InstanceListReader
{
public:
    InstanceListReader(const Clock &clock, InstanceList &list, AgentState &state,
                       ControlCounters &counters);

    /** One read. @return how long to wait before the next step */
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
