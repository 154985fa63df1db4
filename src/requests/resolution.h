#ifndef BRONZESHED_REQUESTS_RESOLUTION_H
#define BRONZESHED_REQUESTS_RESOLUTION_H

#include "requests/outcome.h"

#include <cstddef>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace bronzeshed {

/** Response of an upstream as stored in the ledger. Shared and immutable. */
struct RecordedAnswer
{
    unsigned status = 200;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    /** Total bytes of the header names, header values and body. */
    std::size_t size() const;
    bool operator==(const RecordedAnswer &) const = default;
};

using AnswerPointer = std::shared_ptr<const RecordedAnswer>;

/** Outcome of a recorded request, as reported to its caller. */
struct RecordedOutcome
{
    Outcome outcome = Outcome::Unknown;
    Reason reason = Reason::None;
    AnswerPointer answer; ///< set if the outcome is Answered
};

/** State of a request id, as reported by its owning entry to another entry. */
enum class ResolutionKind {
    Fenced, ///< the id had no record and will never run
    InProgress, ///< the request is running
    Completed, ///< the request has ended; its outcome is attached
    Expired, ///< the request may have run, but its record or answer was dropped
    Invalid, ///< the id belongs to another request
};

struct Resolution
{
    ResolutionKind kind = ResolutionKind::Expired;
    RecordedOutcome result; ///< outcome to report to the caller
};

} // namespace bronzeshed

#endif
