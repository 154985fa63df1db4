#ifndef BRONZESHED_ENTRY_LOOKUP_H
#define BRONZESHED_ENTRY_LOOKUP_H

#include "http/httpmessage.h"
#include "membership/controlstate.h"

#include <chrono>

namespace bronzeshed {

/** How long a caller may use a lookup answer. */
constexpr std::chrono::milliseconds LookupValidity{8000};
/** Entries named in a lookup answer at most. */
constexpr std::size_t LookupEntries = 3;

/** Ticket that an entry's lookup answer gives for @p member at wall-clock time @p nowMs. */
std::string makeTicket(const Member &member, std::int64_t nowMs);

/** The answer to a lookup: which entries a caller of @p region may use for @p service. */
HttpResponse makeLookupResponse(const ClassName &className, const ServiceName &service,
                                const RegionName &region, const ControlState &state,
                                std::int64_t nowMs);

} // namespace bronzeshed

#endif
