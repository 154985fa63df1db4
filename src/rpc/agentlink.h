#ifndef BRONZESHED_RPC_AGENTLINK_H
#define BRONZESHED_RPC_AGENTLINK_H

#include "base/wakeup.h"
#include "membership/controlports.h"

#include <atomic>
#include <thread>

namespace kj {
struct AsyncIoContext;
}

namespace bronzeshed {

/**
 * Connects an entry to its agent: reports the status of the entry and receives the control state.
 * Reconnects indefinitely after a failure. Runs on its own thread.
 */
class AgentLink
{
public:
    /** @param statusChanged notified when the status has changed and must be reported immediately
     */
    AgentLink(const Endpoint &agent, ControlStateSink &sink, Wakeup &statusChanged);
    ~AgentLink();
    AgentLink(const AgentLink &) = delete;
    AgentLink &operator=(const AgentLink &) = delete;

    void stop();

private:
    void run();
    void runConnection(kj::AsyncIoContext &io);

    Endpoint agent;
    ControlStateSink &sink;
    Wakeup &statusChanged;
    std::atomic<bool> stopping{false};
    std::thread thread;
};

} // namespace bronzeshed

#endif
