#include "agent/configkeeperadapter.h"

#include "membership/domainorder.h"

namespace bronzeshed {

ConfigKeeperAdapter::ConfigKeeperAdapter(AgentState &state, InstanceId self)
    : state(state)
    , self(std::move(self))
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

void ConfigKeeperAdapter::mergeMarks(const LeaveMarks &marks)
{
    this->state.mergeMarks(marks);
}

std::vector<Member> ConfigKeeperAdapter::members()
{
    return this->state.currentState().members;
}

std::vector<UpstreamInfo> ConfigKeeperAdapter::upstreams()
{
    return this->state.currentState().upstreams;
}

bool ConfigKeeperAdapter::isFirstForConfig()
{
    std::vector<Member> live = this->members();
    std::erase_if(live, [](const Member &member) { return member.state != MemberState::Alive; });
    const std::vector<Member> order = rendezvousOrder(ConfigKey, std::move(live));
    return !order.empty() && order.front().id == this->self;
}

} // namespace bronzeshed
