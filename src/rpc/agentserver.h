#ifndef BRONZESHED_RPC_AGENTSERVER_H
#define BRONZESHED_RPC_AGENTSERVER_H

#include "membership/controlports.h"

#include <atomic>
#include <future>
#include <thread>

namespace bronzeshed {

/** Serves the Agent interface on a thread of its own. */
class AgentServer
{
public:
    /** @throws Error if the endpoint cannot be bound */
    AgentServer(const Endpoint &endpoint, ControlStateSource &source);
    ~AgentServer();
    AgentServer(const AgentServer &) = delete;
    AgentServer &operator=(const AgentServer &) = delete;

    Endpoint localEndpoint() const { return this->bound; }
    void stop();

private:
    void run(const Endpoint &endpoint, std::promise<std::uint16_t> &ready);

    ControlStateSource &source;
    Endpoint bound;
    std::atomic<bool> stopping{false};
    std::thread thread;
};

} // namespace bronzeshed

#endif
