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
 * Keeps an entry connected to its agent: reports the entry's status and receives the control state.
 * Reconnects for ever. Runs on a thread of its own.
 */
class AgentLink
{
public:
    /** @param statusChanged notified when the status is to be reported at once */
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
