#include "rpc/gossiploop.h"

#include "base/logline.h"
#include "rpc/conversion.h"

namespace bronzeshed {

namespace {

constexpr auto CallTimeout = 500 * kj::MILLISECONDS;
/**
 * Largest record in bytes that is pushed. Two of three pushes of a version reach a peer that
 * already has it, and a record with a full audit trail exceeds 100 KB. Longer records are therefore
 * sent only to peers whose digest shows that they lack them.
 */
constexpr std::size_t MaxPushedRecordBytes = 4096;

/** Whether a call failed because the peer is unreachable, not because the peer rejected it. */
bool isUnreachable(const kj::Exception &error)
{
    return error.getType() == kj::Exception::Type::DISCONNECTED
        || error.getType() == kj::Exception::Type::OVERLOADED;
}

} // namespace

GossipLoop::GossipLoop(kj::Network &network, kj::Timer &timer, GossipSource &source,
                       ControlCounters &counters)
    : timer(timer)
    , source(source)
    , counters(counters)
    , connections(network, counters)
    , tasks(*this)
{
}

void GossipLoop::startRound()
{
    this->connections.closeIdle(std::chrono::steady_clock::now());
    for (const Endpoint &peer : this->source.exchangeTargets()) {
        this->tasks.add(this->callPeer(peer, [this, peer](const Connection &connection) {
            return this->exchange(peer, connection);
        }));
    }
}

void GossipLoop::pushUpdates()
{
    const PeerUpdate update = this->source.takeUpdates();
    if (update.isEmpty()) {
        return;
    }
    for (const Endpoint &peer : this->source.pushTargets()) {
        const bool isLong = update.record.size() > MaxPushedRecordBytes;
        this->tasks.add(
            this->callPeer(peer, [this, peer, update, isLong](const Connection &connection) {
                return isLong ? this->exchange(peer, connection) : this->push(connection, update);
            }));
    }
}

kj::Promise<void> GossipLoop::callPeer(const Endpoint &peer, const PeerCall &call)
{
    return this->tryCall(peer, call, true).catch_([this, peer](kj::Exception &&error) {
        this->counters.count(ControlMessage::PeerCallFailed);
        if (isUnreachable(error)) {
            this->source.peerFailed(peer);
            return;
        }
        LogLine("peer_call_rejected", LogLevel::Warning)
            .add("peer", peer.toString())
            .add("error", error.getDescription().cStr());
    });
}

kj::Promise<void> GossipLoop::tryCall(const Endpoint &peer, const PeerCall &call, bool mayRetry)
{
    const auto used = std::make_shared<Connection>();
    auto connected = this->timer.timeoutAfter(CallTimeout, this->connections.get(peer));
    return connected
        .then([call, used](Connection &&connection) {
            *used = connection;
            return call(connection);
        })
        .then([used] { (*used)->isNew = false; })
        .catch_([this, peer, call, used, mayRetry](kj::Exception &&error) -> kj::Promise<void> {
            const Connection connection = *used;
            if (connection == nullptr) {
                return kj::mv(error);
            }
            this->connections.drop(peer, connection);
            const bool closed = error.getType() == kj::Exception::Type::DISCONNECTED;
            // The peer may have restarted since the pooled connection was last used.
            if (mayRetry && closed && !connection->isNew) {
                return this->tryCall(peer, call, false);
            }
            return kj::mv(error);
        })
        .attach(std::shared_ptr<Connection>(used));
}

kj::Promise<void> GossipLoop::exchange(const Endpoint &peer, const Connection &connection)
{
    this->counters.count(ControlMessage::ExchangeSent);
    auto request = connection->peer.exchangeRequest();
    writeDigest(request.initDigest(), this->source.digest());
    const TimePoint sentAt = std::chrono::steady_clock::now();
    auto answered = request.send().then([](capnp::Response<rpc::Peer::ExchangeResults> &&response) {
        return readDigest(response.getDigest());
    });
    return this->timer.timeoutAfter(CallTimeout, kj::mv(answered))
        .then([this, peer, connection, sentAt](PeerDigest &&peerDigest) -> kj::Promise<void> {
            if (this->source.needsSync(peerDigest)) {
                return this->sync(peer, connection, peerDigest, sentAt);
            }
            this->source.peerAnswered(peer, sentAt);
            return kj::READY_NOW;
        });
}

kj::Promise<void> GossipLoop::sync(const Endpoint &peer, const Connection &connection,
                                   const PeerDigest &peerDigest, TimePoint sentAt)
{
    this->counters.count(ControlMessage::SyncSent);
    auto request = connection->peer.syncRequest();
    writeUpdate<rpc::Peer::SyncParams::Builder>(request, this->source.updateFor(peerDigest));
    PeerDigest digest = this->source.digest();
    digest.sender = {};
    writeDigest(request.initDigest(), digest);
    auto answered = request.send().then([](capnp::Response<rpc::Peer::SyncResults> &&response) {
        return readUpdate<rpc::Peer::SyncResults::Reader>(response);
    });
    return this->timer.timeoutAfter(CallTimeout, kj::mv(answered))
        .then([this, peer, sentAt](PeerUpdate &&update) {
            this->source.merge(update);
            this->source.peerAnswered(peer, sentAt);
        });
}

kj::Promise<void> GossipLoop::push(const Connection &connection, const PeerUpdate &update)
{
    this->counters.count(ControlMessage::PushSent);
    auto request = connection->peer.pushRequest();
    writeUpdate<rpc::Peer::PushParams::Builder>(request, update);
    return this->timer.timeoutAfter(CallTimeout, request.send().ignoreResult());
}

void GossipLoop::taskFailed(kj::Exception &&error)
{
    LogLine("gossip_task_failed", LogLevel::Error).add("error", error.getDescription().cStr());
}

} // namespace bronzeshed
