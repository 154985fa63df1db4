#ifndef BRONZESHED_RPC_LEDGERSERVER_H
#define BRONZESHED_RPC_LEDGERSERVER_H

#include "base/eventring.h"
#include "rpc/ledgerports.h"

#include <atomic>
#include <future>
#include <thread>

namespace bronzeshed {

/**
 * Serves the Ledger interface on a thread of its own: passes the questions of other entries to the
 * decision thread and its replies back.
 */
class LedgerServer : public LedgerAskers
{
public:
    /** @throws Error if the endpoint cannot be bound */
    LedgerServer(const Endpoint &endpoint, EventRing<LedgerQuestion> &questions);
    ~LedgerServer() override;
    LedgerServer(const LedgerServer &) = delete;
    LedgerServer &operator=(const LedgerServer &) = delete;

    Endpoint localEndpoint() const { return this->bound; }
    /** Called on the decision thread. */
    void reply(LedgerReply reply) override;
    void stop();

private:
    void run(const Endpoint &endpoint, std::promise<std::uint16_t> &ready);

    EventRing<LedgerQuestion> &questions;
    Wakeup wakeup;
    EventRing<LedgerReply> replies;
    Endpoint bound;
    std::atomic<bool> stopping{false};
    std::thread thread;
};

} // namespace bronzeshed

#endif
