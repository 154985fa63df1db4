#include "agent/agentmetrics.h"

#include "metrics/processmetrics.h"
#include "metrics/textexposition.h"

#include <algorithm>

namespace bronzeshed {

namespace {

double countMembers(const std::vector<Member> &members, MemberState state)
{
    return static_cast<double>(
        std::count_if(members.begin(), members.end(),
                      [state](const Member &member) { return member.state == state; }));
}

} // namespace

AgentMetrics::AgentMetrics(AgentState &state, const ControlCounters &counters)
    : state(state)
    , counters(counters)
{
}

std::string AgentMetrics::metricsText()
{
    const ControlState current = this->state.currentState();
    const ControlTotals totals = this->counters.totals();
    TextExposition output;
    output.begin("bronzeshed_config_version", "gauge", "Newest known configuration version.");
    output.sample({}, static_cast<double>(current.configVersion.value()));
    output.begin("bronzeshed_state_age_seconds", "gauge",
                 "Time since others confirmed the control state.");
    output.sample({}, std::chrono::duration<double>(current.confirmedAge).count());
    output.begin("bronzeshed_members", "gauge", "Known entry instances by state.");
    output.sample({{"state", "alive"}}, countMembers(current.members, MemberState::Alive));
    output.sample({{"state", "suspect"}}, countMembers(current.members, MemberState::Suspect));
    output.sample({{"state", "leaving"}}, countMembers(current.members, MemberState::Leaving));
    output.sample({{"state", "dead"}}, countMembers(current.members, MemberState::Dead));
    output.begin("bronzeshed_control_bytes_total", "counter",
                 "Bytes of the connections to other agents.");
    output.sample({{"direction", "sent"}}, static_cast<double>(totals.bytesSent));
    output.sample({{"direction", "received"}}, static_cast<double>(totals.bytesReceived));
    output.begin("bronzeshed_control_messages_total", "counter",
                 "Messages to and from other agents and calls to the platform.");
    for (std::size_t kind = 0; kind < ControlMessageKinds; ++kind) {
        output.sample({{"kind", controlMessageName(static_cast<ControlMessage>(kind))}},
                      static_cast<double>(totals.messages[kind]));
    }
    writeProcessMetrics(output);
    return output.text();
}

std::string AgentMetrics::notReadyReason()
{
    const ControlState current = this->state.currentState();
    if (current.configVersion == ConfigVersion()) {
        return "no configuration yet; apply a declaration or check the store and the peers";
    }
    if (current.confirmedAge > MaxControlStateAge) {
        return "the control state is stale; check the store and the connections to peers";
    }
    return {};
}

} // namespace bronzeshed
