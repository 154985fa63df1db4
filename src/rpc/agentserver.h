#ifndef BRONZESHED_RPC_AGENTSERVER_H
#define BRONZESHED_RPC_AGENTSERVER_H

#include "membership/controlports.h"
#include "rpc/controlcounters.h"
#include "rpc/peerports.h"

#include <atomic>
#include <future>
#include <thread>

namespace bronzeshed {

/** Serves the interfaces Agent and Peer on one port, on its own thread. */
class AgentServer
{
public:
    /** @throws Error if the endpoint cannot be bound */
    AgentServer(const Endpoint &endpoint, ControlStateSource &source, PeerHandler &peers,
                ControlCounters &counters);
    ~AgentServer();
    AgentServer(const AgentServer &) = delete;
    AgentServer &operator=(const AgentServer &) = delete;

    Endpoint localEndpoint() const { return this->bound; }
    void stop();

private:
    void run(const Endpoint &endpoint, std::promise<std::uint16_t> &ready);

    ControlStateSource &source;
    PeerHandler &peers;
    ControlCounters &counters;
    Endpoint bound;
    std::atomic<bool> stopping{false};
    std::thread thread;
};

} // namespace bronzeshed

#endif
