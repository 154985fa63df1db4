#ifndef BRONZESHED_AGENT_CONFIGKEEPERRESULT_H
#define BRONZESHED_AGENT_CONFIGKEEPERRESULT_H

#include "base/strongnumber.h"

#include <string>
#include <variant>

namespace bronzeshed {

/** The change was written to the store. */
struct ChangeAccepted
{
    ConfigVersion version;
};

/** Another operator's change came first; nothing was changed. */
struct ChangeConflict
{
    std::string operatorName; ///< of the newest change; empty if the record has no audit entry
    ConfigVersion version; ///< current version in the store
};

/** The change is invalid; nothing was changed. */
struct ChangeRefused
{
    std::string error;
};

/** The store did not report whether the swap took effect. */
struct ChangeUnknown
{
    std::string writeId; ///< id to search for in the audit trail
};

/** The store cannot be read or written; nothing was changed. */
struct StoreUnavailable
{
    std::string error;
};

/** The drain flag is active and sent to peers; it is recorded when the store answers again. */
struct DrainFlagActive
{
    std::string writeId;
};

/** Outcome of a configuration change. */
using ChangeResult = std::variant<ChangeAccepted, ChangeConflict, ChangeRefused, ChangeUnknown,
                                  StoreUnavailable, DrainFlagActive>;

} // namespace bronzeshed

#endif
