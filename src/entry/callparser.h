#ifndef BRONZESHED_ENTRY_CALLPARSER_H
#define BRONZESHED_ENTRY_CALLPARSER_H

#include "base/clock.h"
#include "base/strongid.h"
#include "http/httpmessage.h"
#include "requests/outcome.h"

#include <optional>
#include <string>

namespace bronzeshed {

/** The Bronzeshed-* headers of a call. */
struct CallHeaders
{
    ClassName className;
    CallerName caller;
    RequestId requestId; ///< empty if not given
    std::optional<std::chrono::milliseconds> timeLeft;
    unsigned depth = 0;
    unsigned attempt = 0;
};

/** The parsed headers of a call, or the reason why they are invalid. */
struct ParsedCall
{
    CallHeaders headers;
    Reason reason = Reason::None; ///< None if valid
    std::string detail; ///< description of the error for the response body
};

/** Parses and validates the Bronzeshed-* headers of a request. */
ParsedCall parseCallHeaders(const HttpRequest &request);

} // namespace bronzeshed

#endif
