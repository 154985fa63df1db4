// The part of AgentState that peers use.

#include "agent/agentstate.h"

#include "membership/domainorder.h"

namespace bronzeshed {

namespace {

std::uint64_t hashMarks(const LeaveMarks &marks)
{
    std::string text;
    for (const auto &[upstream, mark] : marks) {
        text += upstream.value() + '|' + std::to_string(mark.counter)
            + (mark.leaving ? "|leaving\n" : "|staying\n");
    }
    return stableHash(text);
}

} // namespace

std::vector<Member> AgentState::others()
{
    const std::lock_guard lock(this->mutex);
    return this->otherMembers();
}

std::vector<Member> AgentState::otherMembers() const
{
    std::vector<Member> members = this->table.members();
    std::erase_if(members, [this](const Member &member) {
        return member.id == this->identity.id || member.agentEndpoint == this->agentEndpoint;
    });
    return members;
}

std::vector<Endpoint> AgentState::seeds()
{
    const std::lock_guard lock(this->mutex);
    if (!this->instances) {
        return {};
    }
    std::vector<Endpoint> agents = this->instances->agents;
    std::erase(agents, this->agentEndpoint);
    return agents;
}

PeerDigest AgentState::digest()
{
    const std::lock_guard lock(this->mutex);
    PeerDigest digest;
    digest.configVersion = this->newest.version;
    digest.membershipHash = this->table.hash();
    digest.drainFlagsHash = hashMarks(this->newest.leaveMarks);
    if (this->table.self()) {
        digest.sender = *this->table.self();
    }
    return digest;
}

void AgentState::mergeUpdate(const PeerUpdate &update, bool forward)
{
    // Parsed first: a malformed record must not leave the update half merged.
    std::optional<ConfigRecord> record;
    if (!update.record.empty()) {
        record = parseConfigRecord(update.record);
    }
    const std::lock_guard lock(this->mutex);
    this->table.merge(update.members);
    this->table.mergeVersions(update.versions);
    this->handleChanges(forward);
    this->mergeMarksLocked(update.drainFlags, forward);
    if (record) {
        // A new version is news whichever way it came.
        this->adoptLocked(*record, true);
    }
    this->updateAlone();
    this->wakeForNews();
}

PeerUpdate AgentState::updateFor(const PeerDigest &theirs)
{
    const std::lock_guard lock(this->mutex);
    PeerUpdate update;
    const std::uint64_t hash = this->table.hash();
    if (!hasSameMembers(hash, theirs.membershipHash)) {
        update.members = this->table.members();
    } else if (hash != theirs.membershipHash) {
        update.versions = this->table.versionReport();
    }
    if (hashMarks(this->newest.leaveMarks) != theirs.drainFlagsHash) {
        update.drainFlags = this->newest.leaveMarks;
    }
    if (this->newest.version > theirs.configVersion) {
        update.record = this->newestText;
    }
    return update;
}

PeerUpdate AgentState::takeNews()
{
    const std::lock_guard lock(this->mutex);
    PeerUpdate update;
    for (auto &[id, member] : this->news.members) {
        update.members.push_back(std::move(member));
    }
    update.drainFlags = std::move(this->news.leaveMarks);
    if (this->news.record) {
        update.record = this->newestText;
    }
    this->news = {};
    return update;
}

void AgentState::peerAnswered(const Endpoint &peer, TimePoint sentAt)
{
    const std::lock_guard lock(this->mutex);
    this->table.callAnswered(peer);
    this->freshness.contacted(sentAt);
}

void AgentState::peerFailed(const Endpoint &peer)
{
    const std::lock_guard lock(this->mutex);
    this->table.callFailed(peer);
    this->handleChanges(false);
}

} // namespace bronzeshed
