#ifndef BRONZESHED_RPC_LEDGERPORTS_H
#define BRONZESHED_RPC_LEDGERPORTS_H

#include "rpc/ledgermessages.h"

namespace bronzeshed {

/** Port to the ledgers of other entries. */
class LedgerPeers
{
public:
    virtual ~LedgerPeers() = default;
    /**
     * Asks the owner of an id; the result arrives later.
     * @return false if too many queries are waiting
     */
    virtual bool ask(LedgerQuery query) = 0;
};

/** Port to the entries that asked about ids of this entry. */
class LedgerAskers
{
public:
    virtual ~LedgerAskers() = default;
    /** Replies to a question. */
    virtual void reply(LedgerReply reply) = 0;
};

} // namespace bronzeshed

#endif
