#ifndef BRONZESHED_AGENT_AGENTSTATE_H
#define BRONZESHED_AGENT_AGENTSTATE_H

#include "agent/entrymonitor.h"
#include "agent/pendingupdates.h"
#include "base/wakeup.h"
#include "config/configrecord.h"
#include "membership/controlports.h"
#include "membership/freshness.h"
#include "membership/membershiptable.h"
#include "platform/instancelist.h"
#include "rpc/peerports.h"

#include <mutex>
#include <optional>
#include <set>

namespace bronzeshed {

/** Instance id, region and availability zone of an agent, from its settings. */
struct AgentIdentity
{
    InstanceId id;
    RegionName region;
    ZoneName zone;
};

/**
 * Holds the control state of an agent: members, configuration record, drain flags and instance
 * list. Thread-safe.
 */
class AgentState : public ControlStateSource
{
public:
    /** @param updatesWakeup notified when there are updates to push to peers */
    AgentState(const Clock &clock, AgentIdentity identity, Wakeup &updatesWakeup);

    ControlState currentState() override;
    std::uint64_t currentSequence() override;
    void entryReported(const EntryStatus &status) override;
    void entryLinkOpened() override;
    void entryLinkClosed() override;

    /** Sets the address of this agent's RPC port. Call when the port is bound. */
    void setAgentEndpoint(const Endpoint &endpoint);

    /**
     * Adopts @p record and pushes it to peers if its version is higher than the current one. The
     * drain flags of the record are merged in either case.
     */
    void adoptRecord(const ConfigRecord &record);
    /** Merges newer drain flags and pushes them to peers. @return whether any flag was newer */
    bool adoptDrainFlags(const DrainFlags &flags);
    void adoptInstances(const InstanceSnapshot &snapshot);

    /** Returns the newest record, with all drain flags that this agent holds. */
    ConfigRecord record();
    /** Returns all members of the table, including dead ones. */
    std::vector<Member> members();
    /** Returns the upstreams of the instance list, with the drain flags applied. */
    std::vector<UpstreamInfo> upstreams();
    /** Returns whether this agent is first in rendezvous order on the key among all live members.
     */
    bool isFirstForConfig();
    /** Returns whether this agent is one of those in its region that hold a store watch. */
    bool isStoreWatcher();

    /** Records that the store answered a call sent at @p sentAt. */
    void storeAnswered(TimePoint sentAt);
    /** Records that the instance list answered a call sent at @p sentAt. */
    void listAnswered(TimePoint sentAt);
    /** Returns whether no peer confirmed the state for 3 s, so that the store must be read. */
    bool needsConfirmation();

    /**
     * Makes the time-driven changes: suspected members, a lost entry, expired drain flags and
     * pauses of this process. Call at least every 500 ms.
     */
    void tick();

    /** Returns the members other than this instance. */
    std::vector<Member> others();
    /** Returns the agents of the instance list other than this one. */
    std::vector<Endpoint> seeds();
    PeerDigest digest();
    /**
     * Merges the members, drain flags and record of a peer.
     * @param forward whether to push new members and drain flags to other peers
     */
    void mergeUpdate(const PeerUpdate &update, bool forward);
    /** Returns the parts of this state that the sender of @p theirs lacks. */
    PeerUpdate updateFor(const PeerDigest &theirs);
    PeerUpdate takeUpdates();
    void peerAnswered(const Endpoint &peer, TimePoint sentAt);
    void peerFailed(const Endpoint &peer);

private:
    std::vector<UpstreamInfo> upstreamsWithDrainFlags() const;
    std::vector<Member> otherMembers() const;
    void publishSelf(const EntryStatus &status);
    void publishSelfAsDead(const char *reason);
    void dropExpiredDrainFlags();
    bool adoptDrainFlagsLocked(const DrainFlags &flags, bool forward);
    void adoptRecordLocked(const ConfigRecord &record, bool forward);
    /** Logs the changes of the member table and queues them for peers if @p forward is set. */
    void handleChanges(bool forward);
    void updateAlone();
    void notifyPendingUpdates();

    std::mutex mutex;
    const Clock &clock;
    const AgentIdentity identity;
    Wakeup &updatesWakeup;
    Endpoint agentEndpoint;
    EntryMonitor entry;
    Incarnation
        lastRejectedIncarnation; ///< newest reported incarnation that was below the current one
    MembershipTable table;
    Freshness freshness;
    ConfigRecord newest;
    std::string newestText; ///< JSON of newest, serialized once per version
    std::optional<InstanceSnapshot> instances;
    std::set<UpstreamId> listedUpstreams; ///< upstreams in the instance list
    PendingUpdates pendingUpdates;
    std::uint64_t sequence = 1;
};

} // namespace bronzeshed

#endif
