#include "entry/ledgercoordinator.h"

#include "entry/callresponse.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace bronzeshed {

namespace {

HttpResponse toResponse(const RecordedOutcome &recorded)
{
    if (recorded.outcome != Outcome::Answered) {
        return makeRefusal(recorded.outcome, recorded.reason);
    }
    if (!recorded.answer) {
        return makeRefusal(Outcome::Unknown, Reason::AnswerExpired);
    }
    HttpResponse response;
    response.status = recorded.answer->status;
    for (const auto &[name, value] : recorded.answer->headers) {
        response.headers.add(name, value);
    }
    response.body = recorded.answer->body;
    return response;
}

AnswerPointer toRecord(const HttpResponse &response)
{
    auto answer = std::make_shared<RecordedAnswer>();
    answer->status = response.status;
    answer->headers = response.headers.fields();
    answer->body = response.body;
    return answer;
}

/**
 * Converts the reply of an id's owner to the outcome for the caller. "Not run" is passed on only if
 * the owner has fenced or completed the id; otherwise the outcome is unknown.
 */
RecordedOutcome toOutcome(const Resolution &resolution)
{
    const bool certain
        = resolution.kind == ResolutionKind::Fenced || resolution.kind == ResolutionKind::Completed;
    if (resolution.result.outcome == Outcome::NotRun && !certain) {
        return {Outcome::Unknown, Reason::AnswerExpired, nullptr};
    }
    return resolution.result;
}

} // namespace

LedgerCoordinator::LedgerCoordinator(const Clock &clock, TimerService &timers, Incarnation own,
                                     const LedgerLimits &limits, LedgerPeers &peers)
    : clock(clock)
    , timers(timers)
    , peers(peers)
    , limits(limits)
    , ledger(std::make_unique<RequestLedger>(clock, own, limits))
{
}

void LedgerCoordinator::restart(Incarnation own, Duration startsIn)
{
    this->ledger = std::make_unique<RequestLedger>(this->clock, own, this->limits, startsIn);
}

bool LedgerCoordinator::admit(const IdentifiedCall &call, const std::vector<Member> &members)
{
    if (call.identity.incarnation != this->ledger->incarnation()) {
        this->queryOwner(call, members);
        return false;
    }
    const LedgerDecision decision = this->ledger->begin(call.identity, call.digest, call.id);
    switch (decision.action) {
    case LedgerAction::Run:
        return true;
    case LedgerAction::Wait:
        this->wait(call, call.deadline, Reason::InProgress);
        return false;
    case LedgerAction::Reply:
        break;
    }
    call.exchange->respond(toResponse(decision.reply));
    return false;
}

void LedgerCoordinator::queryOwner(const IdentifiedCall &call, const std::vector<Member> &members)
{
    const auto owner = std::find_if(members.begin(), members.end(), [&](const Member &member) {
        return member.incarnation == call.identity.incarnation && member.ledgerEndpoint.port != 0;
    });
    const bool queried = owner != members.end()
        && this->peers.sendQuery(
            {call.id, owner->ledgerEndpoint, call.identity.toId(), call.digest});
    if (!queried) {
        call.exchange->respond(makeRefusal(Outcome::Unknown, Reason::OwnerUnreachable));
        return;
    }
    this->wait(call, this->clock.now() + LedgerCallTimeout, Reason::OwnerUnreachable);
}

void LedgerCoordinator::wait(const IdentifiedCall &call, TimePoint limit, Reason reasonAtLimit)
{
    const TimerId expiry = this->timers.once(limit, [this, id = call.id, reasonAtLimit](TimePoint) {
        this->respondToWaiting(id, {Outcome::Unknown, reasonAtLimit, nullptr});
    });
    this->waiting.emplace(call.id, WaitingCall{call.exchange, expiry});
}

void LedgerCoordinator::respondToWaiting(CallId id, const RecordedOutcome &outcome)
{
    const auto found = this->waiting.find(id);
    if (found == this->waiting.end()) {
        return;
    }
    const WaitingCall call = std::move(found->second);
    this->waiting.erase(found);
    this->timers.cancel(call.expiry);
    call.exchange->respond(toResponse(outcome));
}

void LedgerCoordinator::complete(const RequestIdentity &identity, Outcome outcome, Reason reason,
                                 const HttpResponse &response)
{
    const AnswerPointer answer = outcome == Outcome::Answered ? toRecord(response) : nullptr;
    const RecordedOutcome recorded{outcome, reason, answer};
    for (const CallId repeat : this->ledger->complete(identity, recorded)) {
        this->respondToWaiting(repeat, recorded);
    }
}

Resolution LedgerCoordinator::resolve(const IncomingLedgerQuery &question)
{
    const auto identity = parseRequestIdentity(question.id);
    if (!identity) {
        return {ResolutionKind::Invalid, {Outcome::Invalid, Reason::MalformedIdentity, nullptr}};
    }
    return this->ledger->resolve(*identity, question.digest);
}

void LedgerCoordinator::handleResult(const LedgerResult &result)
{
    if (result.resolution) {
        this->respondToWaiting(result.call, toOutcome(*result.resolution));
    } else {
        this->respondToWaiting(result.call, {Outcome::Unknown, Reason::OwnerUnreachable, nullptr});
    }
}

RequestId LedgerCoordinator::makeRequestId(std::uint64_t nonce) const
{
    std::array<char, 17> digits{};
    std::snprintf(digits.data(), digits.size(), "%016llx", static_cast<unsigned long long>(nonce));
    return RequestIdentity{this->ledger->incarnation(), this->ledger->currentPeriod(),
                           digits.data()}
        .toId();
}

} // namespace bronzeshed
