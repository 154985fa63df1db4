#ifndef BRONZESHED_REQUESTS_OUTCOME_H
#define BRONZESHED_REQUESTS_OUTCOME_H

#include <string_view>

namespace bronzeshed {

/** What a caller is told about its request. */
enum class Outcome {
    Answered, ///< the whole response of an upstream
    NotRun, ///< no upstream started the request
    Unknown, ///< the request may have run
    Invalid, ///< malformed or contradictory; this request did not run
};

/** Why a request was not answered. */
enum class Reason {
    None,
    QueueFull,
    DeadlineTooShort,
    DeadlinePassed,
    NoConfiguration,
    NoUpstream,
    StaleControlState,
    Draining,
    Overloaded,
    LedgerFull,
    UpstreamRefused,
    UpstreamUnreachable,
    UpstreamFailed,
    UpstreamTimedOut,
    CallerLeft,
    Fenced,
    InProgress,
    AnswerExpired,
    OwnerUnreachable,
    PeriodExpired,
    UnknownClass,
    MissingIdentity,
    MalformedIdentity,
    WrongIdentity,
    DepthExceeded,
    MalformedHeader,
};

/** Value of the Bronzeshed-Outcome header. */
std::string_view outcomeName(Outcome outcome);
/** Value of the Bronzeshed-Reason header. */
std::string_view reasonName(Reason reason);
/** Outcome with a header value; Unknown for a value of a newer version. */
Outcome outcomeFromName(std::string_view name);
/** Reason with a header value; None for a value of a newer version. */
Reason reasonFromName(std::string_view name);
/** Value of the Bronzeshed-Remedy header: what the caller can do. */
std::string_view reasonRemedy(Reason reason);

} // namespace bronzeshed

#endif
