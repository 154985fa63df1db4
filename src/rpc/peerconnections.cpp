#include "rpc/peerconnections.h"

namespace bronzeshed {

namespace {

/** A pass over 60 members takes 30 s, so connections to members are in use more often. */
constexpr std::chrono::minutes IdleLimit{2};

} // namespace

PeerConnections::PeerConnections(kj::Network &network, ControlCounters &counters)
    : network(network)
    , counters(counters)
{
}

kj::Promise<std::shared_ptr<PeerConnection>> PeerConnections::get(const Endpoint &peer)
{
    const auto found = this->kept.find(peer);
    if (found != this->kept.end()) {
        found->second->lastUsed = std::chrono::steady_clock::now();
        return found->second;
    }
    return this->network.parseAddress(peer.host, peer.port)
        .then([](kj::Own<kj::NetworkAddress> &&address) {
            auto connected = address->connect();
            return connected.attach(kj::mv(address));
        })
        .then([this, peer](kj::Own<kj::AsyncIoStream> &&stream) {
            enableKeepAlive(*stream);
            auto connection = std::make_shared<PeerConnection>(kj::mv(stream), this->counters);
            connection->lastUsed = std::chrono::steady_clock::now();
            this->kept[peer] = connection;
            return connection;
        });
}

void PeerConnections::drop(const Endpoint &peer, const std::shared_ptr<PeerConnection> &connection)
{
    const auto found = this->kept.find(peer);
    if (found != this->kept.end() && found->second == connection) {
        this->kept.erase(found);
    }
}

void PeerConnections::closeIdle(TimePoint now)
{
    std::erase_if(this->kept,
                  [&](const auto &item) { return now - item.second->lastUsed > IdleLimit; });
}

} // namespace bronzeshed
