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
     * Queries the owner of a request id. The result is delivered asynchronously.
     * @return false if too many queries are waiting
     */
    virtual bool sendQuery(LedgerQuery query) = 0;
};

/** Port for replies to the entries that queried request ids of this entry. */
class LedgerReplyPort
{
public:
    virtual ~LedgerReplyPort() = default;
    /** Replies to a query. */
    virtual void reply(LedgerReply reply) = 0;
};

} // namespace bronzeshed

#endif
