#ifndef BRONZESHED_REQUESTS_RESOLUTION_H
#define BRONZESHED_REQUESTS_RESOLUTION_H

#include "requests/outcome.h"

#include <cstddef>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace bronzeshed {

/** The response of an upstream as the ledger keeps it. Shared and never changed. */
struct RecordedAnswer
{
    unsigned status = 200;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    /** Bytes of its texts. */
    std::size_t size() const;
    bool operator==(const RecordedAnswer &) const = default;
};

using AnswerPointer = std::shared_ptr<const RecordedAnswer>;

/** What the caller of a recorded request was told. */
struct RecordedOutcome
{
    Outcome outcome = Outcome::Unknown;
    Reason reason = Reason::None;
    AnswerPointer answer; ///< set if the outcome is Answered
};

/** What an entry says about an id of its own to another entry. */
enum class ResolutionKind {
    Fenced, ///< the id was never seen and will never run
    InProgress, ///< the request is running
    Completed, ///< the outcome is attached
    Expired, ///< the request may have run; its record or answer is gone
    Invalid, ///< the id belongs to another request
};

struct Resolution
{
    ResolutionKind kind = ResolutionKind::Expired;
    RecordedOutcome result; ///< what to tell the caller
};

} // namespace bronzeshed

#endif
