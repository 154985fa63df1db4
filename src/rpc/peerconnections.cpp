#include "rpc/peerconnections.h"

namespace bronzeshed {

namespace {

/** Exceeds the 30 s in which the rounds reach each of 60 members, so their connections stay open.
 */
constexpr std::chrono::minutes IdleLimit{2};

} // namespace

PeerConnections::PeerConnections(kj::Network &network, ControlCounters &counters)
    : network(network)
    , counters(counters)
{
}

kj::Promise<std::shared_ptr<PeerConnection>> PeerConnections::get(const Endpoint &peer)
{
    const auto found = this->connections.find(peer);
    if (found != this->connections.end()) {
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
            this->connections[peer] = connection;
            return connection;
        });
}

void PeerConnections::drop(const Endpoint &peer, const std::shared_ptr<PeerConnection> &connection)
{
    const auto found = this->connections.find(peer);
    if (found != this->connections.end() && found->second == connection) {
        this->connections.erase(found);
    }
}

void PeerConnections::closeIdle(TimePoint now)
{
    std::erase_if(this->connections,
                  [&](const auto &item) { return now - item.second->lastUsed > IdleLimit; });
}

} // namespace bronzeshed
