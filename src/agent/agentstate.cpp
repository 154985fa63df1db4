#include "agent/agentstate.h"

#include "base/error.h"
#include "base/logline.h"
#include "membership/domainorder.h"
#include "membership/storewatchers.h"

#include <algorithm>

namespace bronzeshed {

namespace {

/** Peers confirm the state every second. After this time without one the store is read instead. */
constexpr std::chrono::seconds PeerConfirmationTimeout{3};

void logMemberChange(const MemberChange &change)
{
    const Member &member = change.member;
    LogLine("member_changed")
        .add("id", member.id.value())
        .add("from", change.from ? memberStateName(*change.from) : "unknown")
        .add("to", memberStateName(member.state))
        .add("incarnation", member.incarnation.value())
        .add("counter", member.counter)
        .add("agent", member.agentEndpoint.toString());
}

} // namespace

AgentState::AgentState(const Clock &clock, AgentIdentity identity, Wakeup &updatesWakeup)
    : clock(clock)
    , identity(std::move(identity))
    , updatesWakeup(updatesWakeup)
    , entry(clock)
    , table(clock)
    , freshness(clock)
{
    this->updateAlone();
}

ControlState AgentState::currentState()
{
    const std::lock_guard lock(this->mutex);
    ControlState state;
    state.sequence = this->sequence;
    state.configVersion = this->newest.version;
    state.declarationText = this->newest.declarationText;
    state.upstreams = this->upstreamsWithDrainFlags();
    state.members = this->table.members();
    state.confirmedAge = this->freshness.age();
    return state;
}

std::uint64_t AgentState::currentSequence()
{
    const std::lock_guard lock(this->mutex);
    return this->sequence;
}

void AgentState::setAgentEndpoint(const Endpoint &endpoint)
{
    const std::lock_guard lock(this->mutex);
    this->agentEndpoint = endpoint;
    this->updateAlone();
}

void AgentState::entryReported(const EntryStatus &status)
{
    const std::lock_guard lock(this->mutex);
    this->entry.reported();
    this->publishSelf(status);
    this->notifyPendingUpdates();
}

void AgentState::publishSelf(const EntryStatus &status)
{
    Member member;
    member.id = this->identity.id;
    member.region = this->identity.region;
    member.zone = this->identity.zone;
    member.agentEndpoint = this->agentEndpoint;
    member.incarnation = status.incarnation;
    member.callerEndpoint = status.callerEndpoint;
    member.ledgerEndpoint = status.ledgerEndpoint;
    member.configVersion = status.activeConfigVersion;
    member.state = status.leaving ? MemberState::Leaving : MemberState::Alive;
    const auto current = this->table.find(member.id);
    if (current && current->incarnation > member.incarnation) {
        // Peers would treat a lower incarnation as an outdated record. The entry receives the
        // current incarnation with its control state and then takes a higher one.
        if (member.incarnation != this->lastRejectedIncarnation) {
            LogLine("incarnation_outdated", LogLevel::Warning)
                .add("current", current->incarnation.value())
                .add("reported", member.incarnation.value());
        }
        this->lastRejectedIncarnation = member.incarnation;
        return;
    }
    this->table.setSelf(member);
    this->handleChanges(true);
}

void AgentState::publishSelfAsDead(const char *reason)
{
    auto current = this->table.find(this->identity.id);
    if (!current || current->state == MemberState::Dead) {
        return;
    }
    LogLine("entry_lost", LogLevel::Warning)
        .add("id", current->id.value())
        .add("incarnation", current->incarnation.value())
        .add("reason", reason);
    current->state = MemberState::Dead;
    current->agentEndpoint = this->agentEndpoint;
    this->table.setSelf(*current);
    this->handleChanges(true);
}

void AgentState::entryLinkOpened()
{
    const std::lock_guard lock(this->mutex);
    this->entry.linkOpened();
}

void AgentState::entryLinkClosed()
{
    const std::lock_guard lock(this->mutex);
    this->entry.linkClosed();
}

void AgentState::adoptRecord(const ConfigRecord &record)
{
    const std::lock_guard lock(this->mutex);
    this->adoptRecordLocked(record, true);
    this->notifyPendingUpdates();
}

void AgentState::adoptRecordLocked(const ConfigRecord &record, bool forward)
{
    this->adoptDrainFlagsLocked(record.drainFlags, forward);
    if (record.version <= this->newest.version) {
        return;
    }
    LogLine("configuration_adopted")
        .add("from", this->newest.version.value())
        .add("to", record.version.value())
        .add("write_id", record.writeId);
    DrainFlags flags = std::move(this->newest.drainFlags);
    this->newest = record;
    this->newest.drainFlags = std::move(flags);
    this->newestText = serializeConfigRecord(this->newest);
    this->pendingUpdates.record = this->pendingUpdates.record || forward;
    ++this->sequence;
}

bool AgentState::adoptDrainFlags(const DrainFlags &flags)
{
    const std::lock_guard lock(this->mutex);
    const bool changed = this->adoptDrainFlagsLocked(flags, true);
    this->notifyPendingUpdates();
    return changed;
}

bool AgentState::adoptDrainFlagsLocked(const DrainFlags &flags, bool forward)
{
    DrainFlags candidates = flags;
    // A flag that has expired here must not be merged again from a peer where it expires later.
    removeExpiredDrainFlags(candidates, this->listedUpstreams, wallClockMs());
    DrainFlags newer;
    for (const auto &[upstream, flag] : candidates) {
        const auto current = this->newest.drainFlags.find(upstream);
        if (current == this->newest.drainFlags.end() || supersedes(flag, current->second)) {
            newer[upstream] = flag;
            LogLine("drain_flag_changed")
                .add("upstream", upstream.value())
                .add("counter", flag.counter)
                .add("leaving", flag.leaving);
        }
    }
    if (newer.empty()) {
        return false;
    }
    mergeDrainFlags(this->newest.drainFlags, newer);
    if (forward) {
        mergeDrainFlags(this->pendingUpdates.drainFlags, newer);
    }
    ++this->sequence;
    return true;
}

/** Leaves the sequence unchanged: the entry does not hold the upstreams of expired flags. */
void AgentState::dropExpiredDrainFlags()
{
    const std::size_t count
        = removeExpiredDrainFlags(this->newest.drainFlags, this->listedUpstreams, wallClockMs());
    if (count > 0) {
        LogLine("drain_flags_expired").add("count", count);
    }
}

void AgentState::adoptInstances(const InstanceSnapshot &snapshot)
{
    const std::lock_guard lock(this->mutex);
    this->listedUpstreams.clear();
    for (const UpstreamInfo &upstream : snapshot.upstreams) {
        this->listedUpstreams.insert(upstream.id);
    }
    if (!this->instances || this->instances->upstreams != snapshot.upstreams) {
        ++this->sequence;
    }
    this->instances = snapshot;
    this->updateAlone();
}

ConfigRecord AgentState::record()
{
    const std::lock_guard lock(this->mutex);
    return this->newest;
}

std::vector<Member> AgentState::members()
{
    const std::lock_guard lock(this->mutex);
    return this->table.members();
}

std::vector<UpstreamInfo> AgentState::upstreams()
{
    const std::lock_guard lock(this->mutex);
    return this->upstreamsWithDrainFlags();
}

std::vector<UpstreamInfo> AgentState::upstreamsWithDrainFlags() const
{
    std::vector<UpstreamInfo> result;
    if (this->instances) {
        result = this->instances->upstreams;
    }
    for (UpstreamInfo &upstream : result) {
        const auto flag = this->newest.drainFlags.find(upstream.id);
        const bool isLeaving = flag != this->newest.drainFlags.end() && flag->second.leaving;
        upstream.leaving = upstream.leaving || isLeaving;
    }
    return result;
}

bool AgentState::isFirstForConfig()
{
    const std::lock_guard lock(this->mutex);
    std::vector<Member> live = this->table.members();
    std::erase_if(live, [](const Member &member) { return !isLive(member); });
    const std::vector<Member> order = rendezvousOrder(ConfigKey, std::move(live));
    return !order.empty() && order.front().id == this->identity.id;
}

bool AgentState::isStoreWatcher()
{
    const std::lock_guard lock(this->mutex);
    return holdsStoreWatch(ConfigKey, this->identity.id, this->identity.region,
                           this->table.members());
}

void AgentState::storeAnswered(TimePoint sentAt)
{
    const std::lock_guard lock(this->mutex);
    this->freshness.peerOrStoreAnswered(sentAt);
}

void AgentState::listAnswered(TimePoint sentAt)
{
    const std::lock_guard lock(this->mutex);
    this->freshness.listAnswered(sentAt);
}

bool AgentState::needsConfirmation()
{
    const std::lock_guard lock(this->mutex);
    return this->freshness.age() > PeerConfirmationTimeout;
}

void AgentState::tick()
{
    const std::lock_guard lock(this->mutex);
    this->freshness.tick();
    const EntryLoss loss = this->entry.check();
    if (loss != EntryLoss::None) {
        this->publishSelfAsDead(entryLossName(loss));
    }
    this->table.tick();
    this->handleChanges(false);
    this->dropExpiredDrainFlags();
    this->updateAlone();
    this->notifyPendingUpdates();
}

void AgentState::updateAlone()
{
    const std::vector<Member> current = this->otherMembers();
    if (!this->instances) {
        this->freshness.setSoleMember(current.empty());
        return;
    }
    // Dead members count only if the instance list contains their agents. If this instance is
    // partitioned from all others, the last list still contains them, and this agent must not
    // confirm its own state.
    const bool anyMember = std::any_of(current.begin(), current.end(), [](const Member &member) {
        return member.state != MemberState::Dead;
    });
    const bool anyListed
        = std::any_of(this->instances->agents.begin(), this->instances->agents.end(),
                      [this](const Endpoint &agent) { return agent != this->agentEndpoint; });
    this->freshness.setSoleMember(!anyMember && !anyListed);
}

void AgentState::handleChanges(bool forward)
{
    for (const MemberChange &change : this->table.takeChanges()) {
        logMemberChange(change);
        ++this->sequence;
        if (forward) {
            this->pendingUpdates.members[change.member.id] = change.member;
        }
    }
}

void AgentState::notifyPendingUpdates()
{
    if (!this->pendingUpdates.isEmpty()) {
        this->updatesWakeup.notify();
    }
}

} // namespace bronzeshed
