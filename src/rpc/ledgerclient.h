#ifndef BRONZESHED_RPC_LEDGERCLIENT_H
#define BRONZESHED_RPC_LEDGERCLIENT_H

#include "base/eventring.h"
#include "rpc/ledgerports.h"

#include <atomic>
#include <thread>

namespace bronzeshed {

/**
 * Queries the ledgers of other entries on its own thread. Each query opens a new connection,
 * because repeats at another entry are rare and an idle connection may be broken without notice.
 */
class LedgerClient : public LedgerPeers
{
public:
    /** Maximum number of queries in flight. */
    static constexpr std::size_t MaxQueries = 256;

    /** @param results receives one result for each query; needs a capacity of MaxQueries */
    explicit LedgerClient(EventRing<LedgerResult> &results);
    ~LedgerClient() override;
    LedgerClient(const LedgerClient &) = delete;
    LedgerClient &operator=(const LedgerClient &) = delete;

    /** Called on the decision thread. */
    bool sendQuery(LedgerQuery query) override;
    void stop();

private:
    void run();

    EventRing<LedgerResult> &results;
    Wakeup wakeup;
    EventRing<LedgerQuery> queries;
    std::atomic<bool> stopping{false};
    std::thread thread;
};

} // namespace bronzeshed

#endif
