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

/** An upstream as described by the platform's instance list and the drain flags. */
struct UpstreamInfo
{
    UpstreamId id;
    ServiceName service;
    RegionName region;
    ZoneName zone;
    Endpoint endpoint;
    bool leaving = false;
    unsigned slots = 0; ///< requests that it can run concurrently; 0 if unknown
    std::int64_t startedAtMs
        = 0; ///< wall clock; distinguishes starts under the same id; 0 if unknown
    bool warmingUp = false; ///< slow because it started recently

    bool operator==(const UpstreamInfo &) const = default;
};

/** State of a member in the membership protocol. */
enum class MemberState { Alive, Suspect, Leaving, Dead };

/** An entry instance as recorded by its peers. */
struct Member
{
    InstanceId id;
    Incarnation incarnation;
    RegionName region;
    ZoneName zone;
    Endpoint callerEndpoint; ///< address for callers
    Endpoint agentEndpoint; ///< address of the agent's Peer RPC
    Endpoint ledgerEndpoint; ///< address of the entry's Ledger RPC
    MemberState state = MemberState::Alive;
    std::uint64_t counter = 0; ///< incremented by the member to refute a suspicion
    ConfigVersion configVersion; ///< active configuration version of the member

    bool operator==(const Member &) const = default;
};

/**
 * Maximum time since the last confirmation of the control state. An entry accepts no new work on an
 * older state.
 */
constexpr std::chrono::seconds MaxControlStateAge{6};

/** State that an agent sends to its entry. */
struct ControlState
{
    std::uint64_t sequence = 0; ///< increases with every change
    ConfigVersion configVersion;
    std::string declarationText;
    std::vector<UpstreamInfo> upstreams;
    std::vector<Member> members;
    Duration confirmedAge
        = Duration::zero(); ///< time since the agent's last contact with a peer or the store
};

} // namespace bronzeshed

#endif
