#ifndef BRONZESHED_RPC_GOSSIPLOOP_H
#define BRONZESHED_RPC_GOSSIPLOOP_H

#include "rpc/control.capnp.h"
#include "rpc/peerconnections.h"
#include "rpc/peerports.h"

#include <functional>
#include <kj/async-io.h>

namespace bronzeshed {

/** Calls other agents on the event loop of the peer client. Each call has a timeout. */
class GossipLoop final : private kj::TaskSet::ErrorHandler
{
public:
    GossipLoop(kj::Network &network, kj::Timer &timer, GossipSource &source,
               ControlCounters &counters);

    /** Exchanges digests with the peers of this round. */
    void startRound();

    /** Pushes the pending updates, if any. */
    void pushUpdates();

private:
    using Connection = std::shared_ptr<PeerConnection>;
    using PeerCall = std::function<kj::Promise<void>(const Connection &)>;

    /** Runs @p call on a connection to @p peer. Reports the peer as failed if it is unreachable. */
    kj::Promise<void> callPeer(const Endpoint &peer, const PeerCall &call);
    kj::Promise<void> tryCall(const Endpoint &peer, const PeerCall &call, bool mayRetry);
    kj::Promise<void> exchange(const Endpoint &peer, const Connection &connection);
    kj::Promise<void> sync(const Endpoint &peer, const Connection &connection,
                           const PeerDigest &peerDigest, TimePoint sentAt);
    kj::Promise<void> push(const Connection &connection, const PeerUpdate &update);
    void taskFailed(kj::Exception &&error) override;

    kj::Timer &timer;
    GossipSource &source;
    ControlCounters &counters;
    PeerConnections connections;
    kj::TaskSet tasks;
};

} // namespace bronzeshed

#endif
