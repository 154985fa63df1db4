// Functions of StoreWatcher that read the replicas of other entries while the store is away.

#include "base/error.h"
#include "base/logline.h"
#include "gateway/storewatcher.h"

#include <algorithm>

namespace bronzeshed {

namespace {

constexpr std::chrono::milliseconds PeerTimeout{300};
/** A peer without changes responds immediately. */
constexpr std::chrono::milliseconds PeerWait{0};
constexpr std::size_t PeersPerRound = 2;

} // namespace

void StoreWatcher::queryPeers()
{
    std::size_t queried = 0;
    for (const Endpoint &peer : this->peersInQueryOrder()) {
        if (this->stopping.load() || ++queried > PeersPerRound) {
            return;
        }
        try {
            this->readPeerReplica(peer);
            return;
        } catch (const Error &error) {
            LogLine("peer_query_failed", LogLevel::Warning)
                .add("peer", peer.toString())
                .add("error", error.what());
        }
    }
}

void StoreWatcher::readPeerReplica(const Endpoint &peer)
{
    HttpMetadataStore peerReplica(peer, PeerTimeout, [this] { return this->stopping.load(); });
    StoreRevision before;
    {
        const std::lock_guard lock(this->mutex);
        before = this->replica.revision();
    }
    StoreChanges changes;
    changes.historyLost = before.value() == 0;
    if (!changes.historyLost) {
        changes = peerReplica.watch("", before, PeerWait, ReadMode::AllowStale);
    }
    StoreRange range;
    if (changes.historyLost) {
        range = peerReplica.range("", ReadMode::AllowStale);
    }
    bool changed = false;
    {
        const TimePoint now = std::chrono::steady_clock::now();
        const std::lock_guard lock(this->mutex);
        if (!changes.historyLost) {
            changed = this->replica.apply(changes, DeletionKind::Final, now);
        } else if (range.asOf >= before) {
            changed = this->replica.replaceAll(range, DeletionKind::Final, now);
            this->synchronized = true;
        }
        changed |= this->replica.dropExpired(now);
    }
    changed |= std::exchange(this->unconfirmed, false);
    this->publish(changed);
    if (changed) {
        LogLine("peer_replica_read").add("peer", peer.toString()).add("after", before.value());
    }
}

std::vector<Endpoint> StoreWatcher::peersInQueryOrder()
{
    std::vector<Member> members;
    {
        const std::lock_guard lock(this->mutex);
        for (const auto &[id, member] : this->replica.registeredMembers()) {
            if (id != this->options.self) {
                members.push_back(member);
            }
        }
    }
    for (std::size_t i = members.size(); i > 1; --i) {
        std::swap(members[i - 1], members[this->random.below(i)]);
    }
    std::stable_partition(members.begin(), members.end(), [&](const Member &member) {
        return member.region == this->options.region;
    });
    std::vector<Endpoint> peers;
    peers.reserve(members.size());
    for (const Member &member : members) {
        peers.push_back(member.agentEndpoint);
    }
    // The whole region may be partitioned from the store, so half of the rounds start with a
    // random peer of any region.
    if (peers.size() > 1 && this->random.below(2) == 0) {
        std::swap(peers.front(), peers[this->random.below(peers.size())]);
    }
    return peers.empty() ? this->options.seeds : peers;
}

} // namespace bronzeshed
