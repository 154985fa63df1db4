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

/** Limit for the answer of another entry. */
constexpr std::chrono::milliseconds LedgerCallTimeout{500};

using LedgerQuestionId = StrongNumber<struct LedgerQuestionIdTag>;

/** Another entry asks about an id of this entry. */
struct LedgerQuestion
{
    LedgerQuestionId question;
    RequestId id;
    std::uint64_t digest = 0;
};

/** The reply to a LedgerQuestion. */
struct LedgerReply
{
    LedgerQuestionId question;
    Resolution resolution;
};

/** This entry asks the owner of an id. */
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
    std::optional<Resolution> resolution; ///< nothing if the owner did not answer in time
};

} // namespace bronzeshed

#endif
