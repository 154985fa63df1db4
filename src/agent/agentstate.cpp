#include "agent/agentstate.h"

#include "base/error.h"
#include "base/logline.h"
#include "membership/domainorder.h"
#include "membership/storewatchers.h"

#include <algorithm>

namespace bronzeshed {

namespace {

/** Peers confirm the state every second; after this time the store is asked instead. */
constexpr std::chrono::seconds PeerSilenceLimit{3};

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

AgentState::AgentState(const Clock &clock, AgentIdentity identity, Wakeup &newsWakeup)
    : clock(clock)
    , identity(std::move(identity))
    , newsWakeup(newsWakeup)
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
    state.upstreams = this->markedUpstreams();
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
    this->wakeForNews();
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
    const auto known = this->table.find(member.id);
    if (known && known->incarnation > member.incarnation) {
        // Published, it would be taken for an old record. The entry sees the known one in its
        // control state and takes a higher incarnation.
        if (member.incarnation != this->refused) {
            LogLine("incarnation_behind", LogLevel::Warning)
                .add("known", known->incarnation.value())
                .add("reported", member.incarnation.value());
        }
        this->refused = member.incarnation;
        return;
    }
    this->table.setSelf(member);
    this->handleChanges(true);
}

void AgentState::publishOwnDeath(const char *reason)
{
    auto known = this->table.find(this->identity.id);
    if (!known || known->state == MemberState::Dead) {
        return;
    }
    LogLine("entry_lost", LogLevel::Warning)
        .add("id", known->id.value())
        .add("incarnation", known->incarnation.value())
        .add("reason", reason);
    known->state = MemberState::Dead;
    known->agentEndpoint = this->agentEndpoint;
    this->table.setSelf(*known);
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
    this->adoptLocked(record, true);
    this->wakeForNews();
}

void AgentState::adoptLocked(const ConfigRecord &record, bool forward)
{
    this->mergeMarksLocked(record.drainFlags, forward);
    if (record.version <= this->newest.version) {
        return;
    }
    LogLine("configuration_adopted")
        .add("from", this->newest.version.value())
        .add("to", record.version.value())
        .add("write_id", record.writeId);
    DrainFlags marks = std::move(this->newest.drainFlags);
    this->newest = record;
    this->newest.drainFlags = std::move(marks);
    this->newestText = serializeConfigRecord(this->newest);
    this->news.record = this->news.record || forward;
    ++this->sequence;
}

bool AgentState::mergeMarks(const DrainFlags &marks)
{
    const std::lock_guard lock(this->mutex);
    const bool changed = this->mergeMarksLocked(marks, true);
    this->wakeForNews();
    return changed;
}

bool AgentState::mergeMarksLocked(const DrainFlags &marks, bool forward)
{
    DrainFlags offered = marks;
    // A mark that was dropped here must not come back from a peer that drops it later.
    removeExpiredDrainFlags(offered, this->listed, wallClockMs());
    DrainFlags newer;
    for (const auto &[upstream, mark] : offered) {
        const auto known = this->newest.drainFlags.find(upstream);
        if (known == this->newest.drainFlags.end() || supersedes(mark, known->second)) {
            newer[upstream] = mark;
            LogLine("leave_mark_changed")
                .add("upstream", upstream.value())
                .add("counter", mark.counter)
                .add("leaving", mark.leaving);
        }
    }
    if (newer.empty()) {
        return false;
    }
    mergeDrainFlags(this->newest.drainFlags, newer);
    if (forward) {
        mergeDrainFlags(this->news.leaveMarks, newer);
    }
    ++this->sequence;
    return true;
}

/** The entry needs no new state for it: it does not know the upstreams of these marks. */
void AgentState::dropMarks()
{
    const std::size_t count
        = removeExpiredDrainFlags(this->newest.drainFlags, this->listed, wallClockMs());
    if (count > 0) {
        LogLine("leave_marks_lapsed").add("count", count);
    }
}

void AgentState::adoptInstances(const InstanceSnapshot &snapshot)
{
    const std::lock_guard lock(this->mutex);
    this->listed.clear();
    for (const UpstreamInfo &upstream : snapshot.upstreams) {
        this->listed.insert(upstream.id);
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
    return this->markedUpstreams();
}

std::vector<UpstreamInfo> AgentState::markedUpstreams() const
{
    std::vector<UpstreamInfo> marked;
    if (this->instances) {
        marked = this->instances->upstreams;
    }
    for (UpstreamInfo &upstream : marked) {
        const auto mark = this->newest.drainFlags.find(upstream.id);
        const bool leaves = mark != this->newest.drainFlags.end() && mark->second.leaving;
        upstream.leaving = upstream.leaving || leaves;
    }
    return marked;
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
    return this->freshness.age() > PeerSilenceLimit;
}

void AgentState::tick()
{
    const std::lock_guard lock(this->mutex);
    this->freshness.tick();
    const EntryLoss loss = this->entry.check();
    if (loss != EntryLoss::None) {
        this->publishOwnDeath(entryLossName(loss));
    }
    this->table.tick();
    this->handleChanges(false);
    this->dropMarks();
    this->updateAlone();
    this->wakeForNews();
}

void AgentState::updateAlone()
{
    const std::vector<Member> known = this->otherMembers();
    if (!this->instances) {
        this->freshness.setSoleMember(known.empty());
        return;
    }
    // Dead members do not count if the list does not name them. If this instance is cut off from
    // all others, the last list still does, and the state must not count as confirmed.
    const bool anyMember = std::any_of(known.begin(), known.end(), [](const Member &member) {
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
            this->news.members[change.member.id] = change.member;
        }
    }
}

void AgentState::wakeForNews()
{
    if (!this->news.isEmpty()) {
        this->newsWakeup.notify();
    }
}

} // namespace bronzeshed
