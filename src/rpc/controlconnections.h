#ifndef BRONZESHED_RPC_CONTROLCONNECTIONS_H
#define BRONZESHED_RPC_CONTROLCONNECTIONS_H

#include "membership/controlports.h"
#include "rpc/controlcounters.h"
#include "rpc/peerports.h"

#include <kj/async-io.h>

namespace bronzeshed {

/** Accepts and serves the connections to an agent on one event loop. */
class ControlConnections final : private kj::TaskSet::ErrorHandler
{
public:
    ControlConnections(kj::Own<kj::ConnectionReceiver> listener, kj::Timer &timer,
                       ControlStateSource &source, PeerHandler &peers, ControlCounters &counters);

private:
    kj::Promise<void> acceptLoop();
    void serve(kj::Own<kj::AsyncIoStream> stream);
    void taskFailed(kj::Exception &&error) override;

    kj::Own<kj::ConnectionReceiver> listener;
    kj::Timer &timer;
    ControlStateSource &source;
    PeerHandler &peers;
    ControlCounters &counters;
    std::size_t connectionCount = 0;
    kj::TaskSet tasks;
};

} // namespace bronzeshed

#endif
