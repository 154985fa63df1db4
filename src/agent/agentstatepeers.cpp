// The methods of AgentState for gossip with peers.

#include "agent/agentstate.h"

#include "membership/domainorder.h"

namespace bronzeshed {

namespace {

std::uint64_t hashDrainFlags(const DrainFlags &flags)
{
    std::string text;
    for (const auto &[upstream, flag] : flags) {
        text += upstream.value() + '|' + std::to_string(flag.counter)
            + (flag.leaving ? "|leaving\n" : "|staying\n");
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
    digest.drainFlagsHash = hashDrainFlags(this->newest.drainFlags);
    if (this->table.self()) {
        digest.sender = *this->table.self();
    }
    return digest;
}

void AgentState::mergeUpdate(const PeerUpdate &update, bool forward)
{
    // The record is parsed first, so that a malformed one does not leave the update half merged.
    std::optional<ConfigRecord> record;
    if (!update.record.empty()) {
        record = parseConfigRecord(update.record);
    }
    const std::lock_guard lock(this->mutex);
    this->table.merge(update.members);
    this->table.mergeVersions(update.versions);
    this->handleChanges(forward);
    this->adoptDrainFlagsLocked(update.drainFlags, forward);
    if (record) {
        // A new version is always forwarded to peers, regardless of forward.
        this->adoptRecordLocked(*record, true);
    }
    this->updateAlone();
    this->notifyPendingUpdates();
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
    if (hashDrainFlags(this->newest.drainFlags) != theirs.drainFlagsHash) {
        update.drainFlags = this->newest.drainFlags;
    }
    if (this->newest.version > theirs.configVersion) {
        update.record = this->newestText;
    }
    return update;
}

PeerUpdate AgentState::takeUpdates()
{
    const std::lock_guard lock(this->mutex);
    PeerUpdate update;
    for (auto &[id, member] : this->pendingUpdates.members) {
        update.members.push_back(std::move(member));
    }
    update.drainFlags = std::move(this->pendingUpdates.drainFlags);
    if (this->pendingUpdates.record) {
        update.record = this->newestText;
    }
    this->pendingUpdates = {};
    return update;
}

void AgentState::peerAnswered(const Endpoint &peer, TimePoint sentAt)
{
    const std::lock_guard lock(this->mutex);
    this->table.callAnswered(peer);
    this->freshness.peerOrStoreAnswered(sentAt);
}

void AgentState::peerFailed(const Endpoint &peer)
{
    const std::lock_guard lock(this->mutex);
    this->table.callFailed(peer);
    this->handleChanges(false);
}

} // namespace bronzeshed
