#ifndef BRONZESHED_RPC_LEDGERMESSAGES_H
#define BRONZESHED_RPC_LEDGERMESSAGES_H

#include "base/settings.h"
#include "base/strongid.h"
#include "base/strongnumber.h"
#include "requests/resolution.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace bronzeshed {

/** Timeout of a query to another entry. */
constexpr std::chrono::milliseconds LedgerCallTimeout{500};

using IncomingQueryId = StrongNumber<struct IncomingQueryIdTag>;

/** A query that another entry sent about a request id of this entry. */
struct IncomingLedgerQuery
{
    IncomingQueryId queryId;
    RequestId id;
    std::uint64_t digest = 0;
};

/** The reply to an IncomingLedgerQuery. */
struct LedgerReply
{
    IncomingQueryId queryId;
    Resolution resolution;
};

/** A query that this entry sends to the entry that owns a request id. */
struct LedgerQuery
{
    CallId call;
    Endpoint owner;
    RequestId id;
    std::uint64_t digest = 0;
};

/** The result of a LedgerQuery. */
struct LedgerResult
{
    CallId call;
    std::optional<Resolution> resolution; ///< empty if the owner did not answer in time
};

} // namespace bronzeshed

#endif
