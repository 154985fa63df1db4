#ifndef BRONZESHED_REQUESTS_OUTCOME_H
#define BRONZESHED_REQUESTS_OUTCOME_H

#include <string_view>

namespace bronzeshed {

/** Result of a request, as reported to its caller. */
enum class Outcome {
    Answered, ///< the complete response of an upstream is attached
    NotRun, ///< no upstream started the request, so it is safe to send again
    Unknown, ///< an upstream may have run the request
    Invalid, ///< malformed or contradictory request, which was not run
};

/** Reason why a request was not answered. */
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

/** Returns the value of the Bronzeshed-Outcome header. */
std::string_view outcomeName(Outcome outcome);
/** Returns the value of the Bronzeshed-Reason header. */
std::string_view reasonName(Reason reason);
/** Parses a Bronzeshed-Outcome value. Values added by newer versions yield Outcome::Unknown. */
Outcome outcomeFromName(std::string_view name);
/** Parses a Bronzeshed-Reason value. Values added by newer versions yield Reason::None. */
Reason reasonFromName(std::string_view name);
/** Returns the value of the Bronzeshed-Remedy header: the action that the caller can take. */
std::string_view reasonRemedy(Reason reason);

} // namespace bronzeshed

#endif
