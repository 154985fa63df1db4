#include "requests/requestledger.h"

#include <algorithm>
#include <utility>

namespace bronzeshed {

namespace {

/** Bounds the time of one call of dropExpired() to some ten microseconds. */
constexpr std::size_t MaxDroppedPerCall = 256;

LedgerDecision reply(RecordedOutcome outcome)
{
    return {LedgerAction::Reply, std::move(outcome)};
}

} // namespace

RequestLedger::RequestLedger(const Clock &clock, Incarnation own, const LedgerLimits &limits,
                             Duration startsIn)
    : periods(clock, clock.now() + startsIn)
    , own(own)
    , limits(limits)
{
}

LedgerDecision RequestLedger::begin(const RequestIdentity &identity, std::uint64_t digest,
                                    CallId call)
{
    this->dropExpired();
    if (auto rejection = this->findRejection(identity)) {
        return reply(std::move(*rejection));
    }
    Record *existing = this->find(identity);
    if (existing == nullptr) {
        Record *created = this->insert(identity, digest);
        if (created == nullptr) {
            return reply({Outcome::NotRun, Reason::LedgerFull, nullptr});
        }
        created->running = true;
        return {LedgerAction::Run, {}};
    }
    if (existing->digest != digest) {
        return reply({Outcome::Invalid, Reason::WrongIdentity, nullptr});
    }
    if (existing->running) {
        existing->waiting.push_back(call);
        return {LedgerAction::Wait, {}};
    }
    return reply(existing->outcome);
}

std::vector<CallId> RequestLedger::complete(const RequestIdentity &identity,
                                            RecordedOutcome outcome)
{
    if (identity.incarnation != this->own) {
        // The request was accepted under an earlier incarnation of this process.
        return {};
    }
    Record *record = this->find(identity);
    if (record == nullptr || !record->running) {
        return {};
    }
    record->running = false;
    record->outcome = std::move(outcome);
    std::vector<CallId> waitingRepeats = std::exchange(record->waiting, {});
    if (record->outcome.answer) {
        this->bytes += record->outcome.answer->size();
        this->answered.push_back(identity);
        this->evictAnswers();
    }
    return waitingRepeats;
}

Resolution RequestLedger::resolve(const RequestIdentity &identity, std::uint64_t digest)
{
    this->dropExpired();
    if (auto rejection = this->findRejection(identity)) {
        const bool invalid = rejection->outcome == Outcome::Invalid;
        return {invalid ? ResolutionKind::Invalid : ResolutionKind::Expired, std::move(*rejection)};
    }
    Record *existing = this->find(identity);
    if (existing == nullptr) {
        Record *created = this->insert(identity, digest);
        if (created == nullptr) {
            // Without a record, this entry could still run the id later, so it cannot report
            // NotRun.
            return {ResolutionKind::Expired, {Outcome::Unknown, Reason::AnswerExpired, nullptr}};
        }
        created->fenced = true;
        created->outcome = {Outcome::NotRun, Reason::Fenced, nullptr};
        return {ResolutionKind::Fenced, created->outcome};
    }
    if (existing->digest != digest) {
        return {ResolutionKind::Invalid, {Outcome::Invalid, Reason::WrongIdentity, nullptr}};
    }
    if (existing->running) {
        return {ResolutionKind::InProgress, {Outcome::Unknown, Reason::InProgress, nullptr}};
    }
    if (existing->fenced) {
        return {ResolutionKind::Fenced, existing->outcome};
    }
    const bool expired = existing->outcome.reason == Reason::AnswerExpired;
    return {expired ? ResolutionKind::Expired : ResolutionKind::Completed, existing->outcome};
}

std::optional<RecordedOutcome> RequestLedger::findRejection(const RequestIdentity &identity) const
{
    if (identity.incarnation != this->own) {
        return RecordedOutcome{Outcome::Unknown, Reason::OwnerUnreachable, nullptr};
    }
    switch (this->periods.check(identity.period)) {
    case PeriodCheck::Acceptable:
        return std::nullopt;
    case PeriodCheck::InFuture:
        return RecordedOutcome{Outcome::Invalid, Reason::WrongIdentity, nullptr};
    case PeriodCheck::Expired:
        break;
    }
    return RecordedOutcome{Outcome::Unknown, Reason::PeriodExpired, nullptr};
}

RequestLedger::Record *RequestLedger::find(const RequestIdentity &identity)
{
    const auto period = this->byPeriod.find(identity.period);
    if (period == this->byPeriod.end()) {
        return nullptr;
    }
    const auto record = period->second.find(identity.nonce);
    return record == period->second.end() ? nullptr : &record->second;
}

RequestLedger::Record *RequestLedger::insert(const RequestIdentity &identity, std::uint64_t digest)
{
    if (this->recordCount >= this->limits.records) {
        // A caller that receives not-run sends the request again under a new id. If a delayed
        // duplicate of the rejected id were accepted later, the work would be done twice.
        this->lastClosedPeriod = std::max(this->lastClosedPeriod.value_or(0), identity.period);
    }
    if (this->lastClosedPeriod && identity.period <= *this->lastClosedPeriod) {
        return nullptr;
    }
    Record &record = this->byPeriod[identity.period][identity.nonce];
    record.digest = digest;
    ++this->recordCount;
    return &record;
}

void RequestLedger::dropExpired()
{
    for (std::size_t dropped = 0; dropped < MaxDroppedPerCall && !this->byPeriod.empty();
         ++dropped) {
        const auto oldest = this->byPeriod.begin();
        if (this->periods.check(oldest->first) != PeriodCheck::Expired) {
            return;
        }
        if (oldest->second.empty()) {
            this->byPeriod.erase(oldest);
            continue;
        }
        const auto record = oldest->second.begin();
        if (record->second.running) {
            // The request is still running, and its waiting repeats need its outcome.
            return;
        }
        this->releaseAnswer(record->second);
        oldest->second.erase(record);
        --this->recordCount;
    }
}

void RequestLedger::evictAnswers()
{
    while (this->bytes > this->limits.answerBytes && !this->answered.empty()) {
        Record *record = this->find(this->answered.front());
        this->answered.pop_front();
        if (record != nullptr && record->outcome.answer) {
            this->releaseAnswer(*record);
            record->outcome = {Outcome::Unknown, Reason::AnswerExpired, nullptr};
        }
    }
}

void RequestLedger::releaseAnswer(Record &record)
{
    if (record.outcome.answer) {
        this->bytes -= record.outcome.answer->size();
        record.outcome.answer.reset();
    }
}

} // namespace bronzeshed
