#ifndef BRONZESHED_MEMBERSHIP_CONTROLSTATE_H
#define BRONZESHED_MEMBERSHIP_CONTROLSTATE_H

#include "base/clock.h"
#include "base/settings.h"
#include "base/strongid.h"
#include "base/strongnumber.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bronzeshed {

/** An upstream as the platform's instance list and the leave marks show it. */
struct UpstreamInfo
{
    UpstreamId id;
    ServiceName service;
    RegionName region;
    ZoneName zone;
    Endpoint endpoint;
    bool leaving = false;
    unsigned slots = 0; ///< requests that it runs at the same time; 0 if not known
    std::int64_t startedAtMs = 0; ///< wall clock; tells starts under one id apart; 0 if not known
    bool warmingUp = false; ///< started recently and still slow

    bool operator==(const UpstreamInfo &) const = default;
};

enum class MemberState { Alive, Suspect, Leaving, Dead };

/** An entry instance as its peers know it. */
struct Member
{
    InstanceId id;
    Incarnation incarnation;
    RegionName region;
    ZoneName zone;
    Endpoint callerEndpoint; ///< where callers connect
    Endpoint agentEndpoint; ///< Peer RPC of the agent
    Endpoint ledgerEndpoint; ///< Ledger RPC of the entry
    MemberState state = MemberState::Alive;
    std::uint64_t counter = 0; ///< raised by the member to refute a suspicion
    ConfigVersion configVersion; ///< configuration in force there

    bool operator==(const Member &) const = default;
};

/** An entry takes no new work on control state that was confirmed longer ago than this. */
constexpr std::chrono::seconds ControlFreshness{6};

/** What an agent tells its entry. */
struct ControlState
{
    std::uint64_t sequence = 0; ///< rises with every change
    ConfigVersion configVersion;
    std::string declarationText;
    std::vector<UpstreamInfo> upstreams;
    std::vector<Member> members;
    Duration confirmedAge = Duration::zero(); ///< since the agent last had contact with others
};

} // namespace bronzeshed

#endif
