#ifndef BRONZESHED_RPC_PEERCONNECTIONS_H
#define BRONZESHED_RPC_PEERCONNECTIONS_H

#include "base/clock.h"
#include "base/settings.h"
#include "rpc/control.capnp.h"
#include "rpc/countingstream.h"

#include <capnp/rpc-twoparty.h>
#include <map>
#include <memory>

namespace bronzeshed {

/** A connection to another agent. */
struct PeerConnection
{
    PeerConnection(kj::Own<kj::AsyncIoStream> connected, ControlCounters &counters)
        : stream(kj::mv(connected), counters)
        , client(this->stream)
        , peer(this->client.bootstrap().castAs<rpc::Peer>())
    {
    }

    CountingStream stream;
    capnp::TwoPartyClient client;
    /** Obtained only once, because bootstrap() on a broken connection terminates the process. */
    rpc::Peer::Client peer;
    TimePoint lastUsed;
    bool isNew = true; ///< no call has succeeded on it yet
};

/** Pool of connections to other agents. Must be used on one event loop only. */
class PeerConnections
{
public:
    PeerConnections(kj::Network &network, ControlCounters &counters);

    /** Returns the pooled connection to @p peer, or a new one. */
    kj::Promise<std::shared_ptr<PeerConnection>> get(const Endpoint &peer);

    /** Removes @p connection from the pool. Calls in flight on it continue. */
    void drop(const Endpoint &peer, const std::shared_ptr<PeerConnection> &connection);

    /** Removes connections that were not used for two minutes. */
    void closeIdle(TimePoint now);

private:
    kj::Network &network;
    ControlCounters &counters;
    std::map<Endpoint, std::shared_ptr<PeerConnection>> connections;
};

} // namespace bronzeshed

#endif
