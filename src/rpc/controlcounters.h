#ifndef BRONZESHED_RPC_CONTROLCOUNTERS_H
#define BRONZESHED_RPC_CONTROLCOUNTERS_H

#include <array>
#include <atomic>
#include <cstdint>

namespace bronzeshed {

/** Kinds of messages between agents and of calls to the platform. */
enum class ControlMessage {
    ExchangeSent,
    ExchangeReceived,
    SyncSent,
    SyncReceived,
    PushSent,
    PushReceived,
    PeerCallFailed,
    StoreRead,
    StoreWatch,
    StoreFailed,
    ListRead,
    ListFailed,
};

constexpr std::size_t ControlMessageKinds = 12;

/** Name of a message kind in log lines and metrics. */
const char *controlMessageName(ControlMessage kind);

/** Totals since the start of the process. */
struct ControlTotals
{
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::array<std::uint64_t, ControlMessageKinds> messages{};
};

/**
 * Counts the traffic between agents and the calls to the platform. The byte counts cover the
 * connections between agents, without TCP headers. They exclude the traffic between an agent and
 * its entry, which does not leave the instance. Thread-safe.
 */
class ControlCounters
{
public:
    void count(ControlMessage kind) { ++this->messages[static_cast<std::size_t>(kind)]; }
    void addSent(std::uint64_t bytes) { this->sent += bytes; }
    void addReceived(std::uint64_t bytes) { this->received += bytes; }
    ControlTotals totals() const;

private:
    std::atomic<std::uint64_t> sent{0};
    std::atomic<std::uint64_t> received{0};
    std::array<std::atomic<std::uint64_t>, ControlMessageKinds> messages{};
};

} // namespace bronzeshed

#endif
