#ifndef BRONZESHED_RPC_CONTROLSERVICE_H
#define BRONZESHED_RPC_CONTROLSERVICE_H

#include "membership/controlports.h"
#include "rpc/control.capnp.h"
#include "rpc/controlcounters.h"
#include "rpc/peerports.h"

#include <functional>
#include <kj/timer.h>

namespace bronzeshed {

/** Serves the interfaces Agent and Peer on one connection. */
class ControlService final : public rpc::Control::Server
{
public:
    /** @param onEntryCall called on each call of a method that only entries use */
    ControlService(ControlStateSource &source, PeerHandler &peers, ControlCounters &counters,
                   kj::Timer &timer, std::function<void()> onEntryCall);

    kj::Promise<void> watchState(WatchStateContext context) override;
    kj::Promise<void> exchange(ExchangeContext context) override;
    kj::Promise<void> sync(SyncContext context) override;
    kj::Promise<void> push(PushContext context) override;

private:
    kj::Promise<void> waitForChange(WatchStateContext context, TimePoint limit);

    ControlStateSource &source;
    PeerHandler &peers;
    ControlCounters &counters;
    kj::Timer &timer;
    std::function<void()> onEntryCall;
};

} // namespace bronzeshed

#endif
