#ifndef BRONZESHED_RPC_PEERCLIENT_H
#define BRONZESHED_RPC_PEERCLIENT_H

#include "base/wakeup.h"
#include "rpc/controlcounters.h"
#include "rpc/peerports.h"

#include <atomic>
#include <thread>

namespace bronzeshed {

/**
 * Calls other agents on its own thread: exchanges digests every second, and pushes updates as soon
 * as @p updatesWakeup is notified.
 */
class PeerClient
{
public:
    PeerClient(GossipSource &source, Wakeup &updatesWakeup, ControlCounters &counters);
    ~PeerClient();
    PeerClient(const PeerClient &) = delete;
    PeerClient &operator=(const PeerClient &) = delete;

    void stop();

private:
    void run();

    GossipSource &source;
    Wakeup &updatesWakeup;
    ControlCounters &counters;
    std::atomic<bool> stopping{false};
    std::thread thread;
};

} // namespace bronzeshed

#endif
