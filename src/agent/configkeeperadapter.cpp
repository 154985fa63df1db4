#include "agent/configkeeperadapter.h"

namespace bronzeshed {

ConfigKeeperAdapter::ConfigKeeperAdapter(AgentState &state)
    : state(state)
{
}

ConfigRecord ConfigKeeperAdapter::record()
{
    return this->state.record();
}

void ConfigKeeperAdapter::adoptRecord(const ConfigRecord &record)
{
    this->state.adoptRecord(record);
}

void ConfigKeeperAdapter::adoptDrainFlags(const DrainFlags &flags)
{
    this->state.adoptDrainFlags(flags);
}

std::vector<Member> ConfigKeeperAdapter::members()
{
    return this->state.members();
}

std::vector<UpstreamInfo> ConfigKeeperAdapter::upstreams()
{
    return this->state.upstreams();
}

bool ConfigKeeperAdapter::isFirstForConfig()
{
    return this->state.isFirstForConfig();
}

} // namespace bronzeshed
