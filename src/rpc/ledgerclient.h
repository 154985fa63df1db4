#ifndef BRONZESHED_RPC_LEDGERCLIENT_H
#define BRONZESHED_RPC_LEDGERCLIENT_H

#include "base/eventring.h"
#include "rpc/ledgerports.h"

#include <atomic>
#include <thread>

namespace bronzeshed {

/**
 * Asks the ledgers of other entries, on a thread of its own. Each query opens a connection of its
 * own, since repeats at another entry are rare and an older connection may be silent.
 */
class LedgerClient : public LedgerPeers
{
public:
    /** Queries under way at most. */
    static constexpr std::size_t MaxQueries = 256;

    /** @param results receives one result for each query; must hold MaxQueries */
    explicit LedgerClient(EventRing<LedgerResult> &results);
    ~LedgerClient() override;
    LedgerClient(const LedgerClient &) = delete;
    LedgerClient &operator=(const LedgerClient &) = delete;

    /** Called on the decision thread. */
    bool ask(LedgerQuery query) override;
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
