#ifndef BRONZESHED_RPC_GOSSIPLOOP_H
#define BRONZESHED_RPC_GOSSIPLOOP_H

#include "rpc/control.capnp.h"
#include "rpc/peerconnections.h"
#include "rpc/peerports.h"

#include <functional>
#include <kj/async-io.h>

namespace bronzeshed {

/** The calls of the peer client on its event loop. Each call ends within its timeout. */
class GossipLoop final : private kj::TaskSet::ErrorHandler
{
public:
    GossipLoop(kj::Network &network, kj::Timer &timer, GossipSource &source,
               ControlCounters &counters);

    /** Compares digests with the peers of this round. */
    void startRound();

    /** Pushes the pending news, if there are any. */
    void pushNews();

private:
    using Connection = std::shared_ptr<PeerConnection>;
    using Work = std::function<kj::Promise<void>(const Connection &)>;

    /** Runs @p work on a connection to @p peer and reports a failure of the peer. */
    kj::Promise<void> callPeer(const Endpoint &peer, const Work &work);
    kj::Promise<void> tryCall(const Endpoint &peer, const Work &work, bool mayRetry);
    kj::Promise<void> exchange(const Endpoint &peer, const Connection &connection);
    kj::Promise<void> sync(const Endpoint &peer, const Connection &connection,
                           const PeerDigest &theirs, TimePoint sentAt);
    kj::Promise<void> push(const Connection &connection, const PeerUpdate &news);
    void taskFailed(kj::Exception &&error) override;

    kj::Timer &timer;
    GossipSource &source;
    ControlCounters &counters;
    PeerConnections connections;
    kj::TaskSet tasks;
};

} // namespace bronzeshed

#endif
