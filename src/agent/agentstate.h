#ifndef BRONZESHED_AGENT_AGENTSTATE_H
#define BRONZESHED_AGENT_AGENTSTATE_H

#include "config/configrecord.h"
#include "membership/controlports.h"
#include "platform/instancelist.h"

#include <mutex>
#include <optional>

namespace bronzeshed {

/** Control state of an agent, shared by its threads. */
class AgentState : public ControlStateSource
{
public:
    AgentState(InstanceId id, RegionName region, ZoneName zone, Endpoint agentEndpoint);

    ControlState currentState() override;
    std::uint64_t currentSequence() override;
    void entryReported(const EntryStatus &status) override;

    /** Takes over a record unless its version is lower. */
    void adoptRecord(const ConfigRecord &record);
    /** Takes over newer leave marks. */
    void mergeMarks(const LeaveMarks &marks);
    void adoptInstances(const InstanceSnapshot &snapshot);
    /** Another process confirmed the state just now. */
    void confirm(TimePoint now);
    std::vector<Member> members();
    /** Upstreams of the instance list, with the leave marks applied. */
    std::vector<UpstreamInfo> upstreams();
    /** Whether this agent is first in rendezvous order on the key name among all live members. */
    bool isFirstForConfig();
    /** The newest record. */
    ConfigRecord record();

private:
    std::mutex mutex;
    Member self;
    bool entryKnown = false;
    ConfigRecord newest;
    std::vector<UpstreamInfo> listed;
    std::uint64_t sequence = 1;
    TimePoint confirmedAt;
};

} // namespace bronzeshed

#endif
