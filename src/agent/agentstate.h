#ifndef BRONZESHED_AGENT_AGENTSTATE_H
#define BRONZESHED_AGENT_AGENTSTATE_H

#include "agent/entrywatch.h"
#include "agent/pendingnews.h"
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

/** Who an agent is, from its settings. */
struct AgentIdentity
{
    InstanceId id;
    RegionName region;
    ZoneName zone;
};

/** Control state of an agent, shared by its threads. Thread-safe. */
class AgentState : public ControlStateSource
{
public:
    /** @param newsWakeup notified when there is news to push to peers */
    AgentState(const Clock &clock, AgentIdentity identity, Wakeup &newsWakeup);

    ControlState currentState() override;
    std::uint64_t currentSequence() override;
    void entryReported(const EntryStatus &status) override;
    void entryLinkOpened() override;
    void entryLinkClosed() override;

    /** Sets the address of the own RPC port, once it is bound. */
    void setAgentEndpoint(const Endpoint &endpoint);

    /**
     * Takes over a record unless its version is not higher than the known one, and pushes it to
     * peers. Its leave marks are merged in any case.
     */
    void adoptRecord(const ConfigRecord &record);
    /** Takes over newer leave marks and spreads them. @return whether any mark was newer */
    bool mergeMarks(const DrainFlags &marks);
    void adoptInstances(const InstanceSnapshot &snapshot);

    /** The newest record, with all known leave marks. */
    ConfigRecord record();
    /** All known members, dead ones included. */
    std::vector<Member> members();
    /** Upstreams of the instance list, with the leave marks applied. */
    std::vector<UpstreamInfo> upstreams();
    /** Whether this agent is first in rendezvous order on the key name among all live members. */
    bool isFirstForConfig();
    /** Whether this agent is among those of its region that hold a store watch. */
    bool isStoreWatcher();

    /** The store answered a call sent at @p sentAt. */
    void storeAnswered(TimePoint sentAt);
    /** The instance list answered a call sent at @p sentAt. */
    void listAnswered(TimePoint sentAt);
    /** Whether no peer has confirmed the state for so long that the store must be asked. */
    bool needsConfirmation();

    /** Time-driven changes: suspicion, lost entry, gaps in time. Call at least every 500 ms. */
    void tick();

    /** Members other than the own one. */
    std::vector<Member> others();
    /** Agents of the instance list other than this one. */
    std::vector<Endpoint> seeds();
    PeerDigest digest();
    /** Merges members, marks and record from a peer. @param forward pushes what was new */
    void mergeUpdate(const PeerUpdate &update, bool forward);
    /** What the sender of @p theirs lacks of this state. */
    PeerUpdate updateFor(const PeerDigest &theirs);
    PeerUpdate takeNews();
    void peerAnswered(const Endpoint &peer, TimePoint sentAt);
    void peerFailed(const Endpoint &peer);

private:
    std::vector<UpstreamInfo> markedUpstreams() const;
    std::vector<Member> otherMembers() const;
    void publishSelf(const EntryStatus &status);
    void publishOwnDeath(const char *reason);
    void dropMarks();
    bool mergeMarksLocked(const DrainFlags &marks, bool forward);
    void adoptLocked(const ConfigRecord &record, bool forward);
    /** Logs changes of the table, and queues them for peers if @p forward. */
    void handleChanges(bool forward);
    void updateAlone();
    void wakeForNews();

    std::mutex mutex;
    const Clock &clock;
    const AgentIdentity identity;
    Wakeup &newsWakeup;
    Endpoint agentEndpoint;
    EntryWatch entry;
    Incarnation refused; ///< last one that was lower than a former one
    MembershipTable table;
    Freshness freshness;
    ConfigRecord newest;
    std::string newestText; ///< JSON of newest, made once for each version
    std::optional<InstanceSnapshot> instances;
    std::set<UpstreamId> listed; ///< upstreams of instances
    PendingNews news;
    std::uint64_t sequence = 1;
};

} // namespace bronzeshed

#endif
