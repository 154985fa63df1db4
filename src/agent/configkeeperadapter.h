#ifndef BRONZESHED_AGENT_CONFIGKEEPERADAPTER_H
#define BRONZESHED_AGENT_CONFIGKEEPERADAPTER_H

#include "agent/agentstate.h"
#include "agent/configkeeperport.h"

namespace bronzeshed {

/** Implements the port of the configuration keeper on top of AgentState. */
class ConfigKeeperAdapter : public ConfigKeeperPort
{
public:
    explicit ConfigKeeperAdapter(AgentState &state);

    ConfigRecord record() override;
    void adoptRecord(const ConfigRecord &record) override;
    void adoptDrainFlags(const DrainFlags &flags) override;
    std::vector<Member> members() override;
    std::vector<UpstreamInfo> upstreams() override;
    bool isFirstForConfig() override;

private:
    AgentState &state;
};

} // namespace bronzeshed

#endif
