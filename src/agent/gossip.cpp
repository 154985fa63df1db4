#include "agent/gossip.h"

#include <algorithm>

namespace bronzeshed {

namespace {

/** Removes the members and drain flags from @p reply that the peer itself has just sent. */
void removeAlreadySent(PeerUpdate &reply, const PeerUpdate &sent)
{
    std::erase_if(reply.members, [&](const Member &member) {
        return std::find(sent.members.begin(), sent.members.end(), member) != sent.members.end();
    });
    std::erase_if(reply.drainFlags, [&](const auto &item) {
        const auto flag = sent.drainFlags.find(item.first);
        return flag != sent.drainFlags.end() && flag->second == item.second;
    });
}

} // namespace

Gossip::Gossip(AgentState &state, Random &random)
    : state(state)
    , planner(random)
{
}

void Gossip::mergeSender(const PeerDigest &digest)
{
    if (!digest.sender.id.isEmpty()) {
        PeerUpdate update;
        update.members.push_back(digest.sender);
        this->state.mergeUpdate(update, false);
    }
}

PeerDigest Gossip::exchange(const PeerDigest &digest)
{
    this->mergeSender(digest);
    return this->state.digest();
}

PeerUpdate Gossip::sync(const PeerUpdate &update, const PeerDigest &digest)
{
    this->state.mergeUpdate(update, false);
    PeerUpdate reply = this->state.updateFor(digest);
    removeAlreadySent(reply, update);
    return reply;
}

void Gossip::push(const PeerUpdate &update)
{
    this->state.mergeUpdate(update, true);
}

std::vector<Endpoint> Gossip::exchangeTargets()
{
    return this->planner.exchangeTargets(this->state.others(), this->state.seeds());
}

std::vector<Endpoint> Gossip::pushTargets()
{
    return this->planner.pushTargets(this->state.others(), this->state.seeds());
}

PeerUpdate Gossip::takeUpdates()
{
    return this->state.takeUpdates();
}

PeerDigest Gossip::digest()
{
    return this->state.digest();
}

bool Gossip::needsSync(const PeerDigest &theirs)
{
    this->mergeSender(theirs);
    const PeerDigest own = this->state.digest();
    return own.configVersion != theirs.configVersion || own.membershipHash != theirs.membershipHash
        || own.drainFlagsHash != theirs.drainFlagsHash;
}

PeerUpdate Gossip::updateFor(const PeerDigest &theirs)
{
    return this->state.updateFor(theirs);
}

void Gossip::merge(const PeerUpdate &update)
{
    this->state.mergeUpdate(update, false);
}

void Gossip::peerAnswered(const Endpoint &peer, TimePoint sentAt)
{
    this->state.peerAnswered(peer, sentAt);
}

void Gossip::peerFailed(const Endpoint &peer)
{
    this->state.peerFailed(peer);
    this->planner.retryNextRound(peer);
}

} // namespace bronzeshed
