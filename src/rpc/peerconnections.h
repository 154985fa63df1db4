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

/** One connection to another agent. */
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
    /** Taken once: a bootstrap call on a connection that has broken ends the process. */
    rpc::Peer::Client peer;
    TimePoint lastUsed;
    bool isNew = true; ///< no call was answered on it yet
};

/** Connections to other agents, kept between calls. Belongs to one event loop. */
class PeerConnections
{
public:
    PeerConnections(kj::Network &network, ControlCounters &counters);

    /** The kept connection to @p peer or a new one. */
    kj::Promise<std::shared_ptr<PeerConnection>> get(const Endpoint &peer);

    /** Does not keep @p connection any longer; calls in flight on it go on. */
    void drop(const Endpoint &peer, const std::shared_ptr<PeerConnection> &connection);

    /** Closes connections that were not used for a while. */
    void closeIdle(TimePoint now);

private:
    kj::Network &network;
    ControlCounters &counters;
    std::map<Endpoint, std::shared_ptr<PeerConnection>> kept;
};

} // namespace bronzeshed

#endif
