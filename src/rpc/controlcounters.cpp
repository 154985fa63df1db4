#include "rpc/controlcounters.h"

namespace bronzeshed {

const char *controlMessageName(ControlMessage kind)
{
    static constexpr std::array<const char *, ControlMessageKinds> Names{
        "exchange_sent", "exchange_received", "sync_sent",        "sync_received",
        "push_sent",     "push_received",     "peer_call_failed", "store_read",
        "store_watch",   "store_failed",      "list_read",        "list_failed"};
    return Names.at(static_cast<std::size_t>(kind));
}

ControlTotals ControlCounters::totals() const
{
    ControlTotals totals;
    totals.bytesSent = this->sent.load();
    totals.bytesReceived = this->received.load();
    for (std::size_t kind = 0; kind < ControlMessageKinds; ++kind) {
        totals.messages[kind] = this->messages[kind].load();
    }
    return totals;
}

} // namespace bronzeshed
