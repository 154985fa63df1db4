#include "agent/agentstate.h"

#include "membership/domainorder.h"

namespace bronzeshed {

AgentState::AgentState(InstanceId id, RegionName region, ZoneName zone, Endpoint agentEndpoint)
{
    this->self.id = std::move(id);
    this->self.region = std::move(region);
    this->self.zone = std::move(zone);
    this->self.agentEndpoint = std::move(agentEndpoint);
}

ControlState AgentState::currentState()
{
    const std::lock_guard lock(this->mutex);
    ControlState state;
    state.sequence = this->sequence;
    state.configVersion = this->newest.version;
    state.declarationText = this->newest.declarationText;
    state.upstreams = this->listed;
    for (UpstreamInfo &upstream : state.upstreams) {
        const auto mark = this->newest.leaveMarks.find(upstream.id);
        const bool marked = mark != this->newest.leaveMarks.end() && mark->second.leaving;
        upstream.leaving = upstream.leaving || marked;
    }
    if (this->entryKnown) {
        state.members.push_back(this->self);
    }
    state.confirmedAge = std::chrono::steady_clock::now() - this->confirmedAt;
    return state;
}

std::uint64_t AgentState::currentSequence()
{
    const std::lock_guard lock(this->mutex);
    return this->sequence;
}

void AgentState::entryReported(const EntryStatus &status)
{
    const std::lock_guard lock(this->mutex);
    Member updated = this->self;
    updated.incarnation = status.incarnation;
    updated.callerEndpoint = status.callerEndpoint;
    updated.ledgerEndpoint = status.ledgerEndpoint;
    updated.state = status.leaving ? MemberState::Leaving : MemberState::Alive;
    updated.configVersion = status.configVersionInForce;
    if (!this->entryKnown || !(updated == this->self)) {
        this->self = updated;
        this->entryKnown = true;
        ++this->sequence;
    }
}

void AgentState::adoptRecord(const ConfigRecord &record)
{
    const std::lock_guard lock(this->mutex);
    if (record.version > this->newest.version) {
        // Marks that are in force here but not yet recorded must survive the newer record.
        LeaveMarks marks = std::move(this->newest.leaveMarks);
        this->newest = record;
        mergeLeaveMarks(this->newest.leaveMarks, marks);
        ++this->sequence;
    }
}

void AgentState::mergeMarks(const LeaveMarks &marks)
{
    const std::lock_guard lock(this->mutex);
    if (mergeLeaveMarks(this->newest.leaveMarks, marks)) {
        ++this->sequence;
    }
}

void AgentState::adoptInstances(const InstanceSnapshot &snapshot)
{
    const std::lock_guard lock(this->mutex);
    if (this->listed != snapshot.upstreams) {
        this->listed = snapshot.upstreams;
        ++this->sequence;
    }
}

void AgentState::confirm(TimePoint now)
{
    const std::lock_guard lock(this->mutex);
    this->confirmedAt = now;
}

ConfigRecord AgentState::record()
{
    const std::lock_guard lock(this->mutex);
    return this->newest;
}

std::vector<Member> AgentState::members()
{
    return this->currentState().members;
}

std::vector<UpstreamInfo> AgentState::upstreams()
{
    return this->currentState().upstreams;
}

bool AgentState::isFirstForConfig()
{
    std::vector<Member> live = this->members();
    std::erase_if(live, [](const Member &member) { return member.state != MemberState::Alive; });
    const std::vector<Member> order = rendezvousOrder(ConfigKey, std::move(live));
    return !order.empty() && order.front().id == this->self.id;
}

} // namespace bronzeshed
