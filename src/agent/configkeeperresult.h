#ifndef BRONZESHED_AGENT_CONFIGKEEPERRESULT_H
#define BRONZESHED_AGENT_CONFIGKEEPERRESULT_H

#include "base/strongnumber.h"

#include <string>
#include <variant>

namespace bronzeshed {

/** The swap took effect. */
struct ChangeAccepted
{
    ConfigVersion version;
};

/** Another operator's change came first; nothing was changed. */
struct ChangeConflict
{
    std::string operatorName; ///< of the newest change; empty if it cannot be told
    ConfigVersion version; ///< now in the store
};

/** The change is not acceptable; nothing was changed. */
struct ChangeRefused
{
    std::string error;
};

/** The store did not tell whether the swap took effect. */
struct ChangeUnknown
{
    std::string writeId; ///< to look for in the audit trail
};

/** The store cannot be read or written; nothing was changed. */
struct StoreUnavailable
{
    std::string error;
};

/** A leave mark is in force and spreads, and will be recorded when the store answers again. */
struct MarkInForce
{
    std::string writeId;
};

/** What became of a change of the configuration. */
using ChangeResult = std::variant<ChangeAccepted, ChangeConflict, ChangeRefused, ChangeUnknown,
                                  StoreUnavailable, MarkInForce>;

} // namespace bronzeshed

#endif
