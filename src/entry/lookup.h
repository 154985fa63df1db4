#ifndef BRONZESHED_ENTRY_LOOKUP_H
#define BRONZESHED_ENTRY_LOOKUP_H

#include "http/httpmessage.h"
#include "membership/controlstate.h"

#include <chrono>

namespace bronzeshed {

/** Period for which a caller may use a lookup answer. */
constexpr std::chrono::milliseconds LookupValidity{8000};
/** Maximum number of entries in a lookup answer. */
constexpr std::size_t MaxLookupEntries = 3;

/**
 * Returns the ticket for @p member in a lookup answer.
 * @param nowMs wall-clock time in milliseconds since 1970
 */
std::string makeTicket(const Member &member, std::int64_t nowMs);

/** Returns the lookup answer with the entries that callers in @p region may use for @p service. */
HttpResponse makeLookupResponse(const ClassName &className, const ServiceName &service,
                                const RegionName &region, const ControlState &state,
                                std::int64_t nowMs);

} // namespace bronzeshed

#endif
