#include "requests/outcome.h"

#include <array>
#include <cstddef>

namespace bronzeshed {

namespace {

struct ReasonText
{
    Reason reason;
    std::string_view name;
    std::string_view remedy;
};

constexpr std::string_view SendToNextEntry = "send it to the next address of the lookup answer";
constexpr std::string_view RepeatWithSameId = "repeat it with the same id to learn the outcome";

constexpr std::array ReasonTexts{
    ReasonText{Reason::None, "none", "nothing to do"},
    ReasonText{Reason::QueueFull, "queue-full", "wait and send it again"},
    ReasonText{Reason::DeadlineTooShort, "deadline-too-short", "allow more time"},
    ReasonText{Reason::DeadlinePassed, "deadline-passed", "allow more time or send it again"},
    ReasonText{Reason::NoConfiguration, "no-configuration", SendToNextEntry},
    ReasonText{Reason::NoUpstream, "no-upstream", "wait until a server of the service is live"},
    ReasonText{Reason::StaleControlState, "stale-control-state", SendToNextEntry},
    ReasonText{Reason::Draining, "draining", SendToNextEntry},
    ReasonText{Reason::Overloaded, "overloaded", SendToNextEntry},
    ReasonText{Reason::LedgerFull, "ledger-full", SendToNextEntry},
    ReasonText{Reason::UpstreamRefused, "upstream-refused", "wait and send it again"},
    ReasonText{Reason::UpstreamUnreachable, "upstream-unreachable", "wait and send it again"},
    ReasonText{Reason::UpstreamFailed, "upstream-failed", RepeatWithSameId},
    ReasonText{Reason::UpstreamTimedOut, "upstream-timed-out", RepeatWithSameId},
    ReasonText{Reason::CallerLeft, "caller-left", RepeatWithSameId},
    ReasonText{Reason::Fenced, "fenced", "send it again under a new id"},
    ReasonText{Reason::InProgress, "in-progress", RepeatWithSameId},
    ReasonText{Reason::AnswerExpired, "answer-expired", "ask the service for its state"},
    ReasonText{Reason::OwnerUnreachable, "owner-unreachable", "ask the service for its state"},
    ReasonText{Reason::PeriodExpired, "period-expired", "ask the service for its state"},
    ReasonText{Reason::UnknownClass, "unknown-class", "use a declared class"},
    ReasonText{Reason::MissingIdentity, "missing-identity",
               "send Bronzeshed-Request-Id made from the ticket of the lookup answer"},
    ReasonText{Reason::MalformedIdentity, "malformed-identity",
               "make the id from the ticket of the lookup answer and 16 to 64 hex digits"},
    ReasonText{Reason::WrongIdentity, "wrong-identity",
               "use a new id for each request and the same request for each repeat"},
    ReasonText{Reason::DepthExceeded, "depth-exceeded", "break the chain of calls"},
    ReasonText{Reason::MalformedHeader, "malformed-header", "correct the header named"},
};

const ReasonText &findText(Reason reason)
{
    for (const ReasonText &text : ReasonTexts) {
        if (text.reason == reason) {
            return text;
        }
    }
    return ReasonTexts[0];
}

} // namespace

std::string_view outcomeName(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Answered:
        return "answered";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        return "unknown";
    case Outcome::Invalid:
        return "invalid";
    }
    return "unknown";
}

std::string_view reasonName(Reason reason)
{
    return findText(reason).name;
}

Outcome outcomeFromName(std::string_view name)
{
    for (const Outcome outcome : {Outcome::Answered, Outcome::NotRun, Outcome::Invalid}) {
        if (outcomeName(outcome) == name) {
            return outcome;
        }
    }
    return Outcome::Unknown;
}

Reason reasonFromName(std::string_view name)
{
    for (const ReasonText &text : ReasonTexts) {
        if (text.name == name) {
            return text.reason;
        }
    }
    return Reason::None;
}

std::string_view reasonRemedy(Reason reason)
{
    return findText(reason).remedy;
}

} // namespace bronzeshed
