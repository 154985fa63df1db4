#ifndef BRONZESHED_RPC_LEDGERSERVER_H
#define BRONZESHED_RPC_LEDGERSERVER_H

#include "base/eventring.h"
#include "rpc/ledgerports.h"

#include <atomic>
#include <future>
#include <thread>

namespace bronzeshed {

/**
 * Serves the Ledger interface on its own thread: passes the queries of other entries to the
 * decision thread, and sends its replies back.
 */
class LedgerServer : public LedgerReplyPort
{
public:
    /** @throws Error if the endpoint cannot be bound */
    LedgerServer(const Endpoint &endpoint, EventRing<IncomingLedgerQuery> &queries);
    ~LedgerServer() override;
    LedgerServer(const LedgerServer &) = delete;
    LedgerServer &operator=(const LedgerServer &) = delete;

    Endpoint localEndpoint() const { return this->bound; }
    /** Called on the decision thread. */
    void reply(LedgerReply reply) override;
    void stop();

private:
    void run(const Endpoint &endpoint, std::promise<std::uint16_t> &ready);

    EventRing<IncomingLedgerQuery> &queries;
    Wakeup wakeup;
    EventRing<LedgerReply> replies;
    Endpoint bound;
    std::atomic<bool> stopping{false};
    std::thread thread;
};

} // namespace bronzeshed

#endif
