#include "requests/requestledger.h"

#include <algorithm>
#include <utility>

namespace bronzeshed {

namespace {

/** Records dropped by one call of dropExpired(); takes some ten microseconds. */
constexpr std::size_t DropBatch = 256;

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
    if (auto refused = this->refusal(identity)) {
        return reply(std::move(*refused));
    }
    Record *known = this->find(identity);
    if (known == nullptr) {
        Record *created = this->insert(identity, digest);
        if (created == nullptr) {
            return reply({Outcome::NotRun, Reason::LedgerFull, nullptr});
        }
        created->running = true;
        return {LedgerAction::Run, {}};
    }
    if (known->digest != digest) {
        return reply({Outcome::Invalid, Reason::WrongIdentity, nullptr});
    }
    if (known->running) {
        known->waiting.push_back(call);
        return {LedgerAction::Wait, {}};
    }
    return reply(known->outcome);
}

std::vector<CallId> RequestLedger::complete(const RequestIdentity &identity,
                                            RecordedOutcome outcome)
{
    if (identity.incarnation != this->own) {
        // It was taken under a former incarnation of this process.
        return {};
    }
    Record *record = this->find(identity);
    if (record == nullptr || !record->running) {
        return {};
    }
    record->running = false;
    record->outcome = std::move(outcome);
    std::vector<CallId> repeats = std::exchange(record->waiting, {});
    if (record->outcome.answer) {
        this->bytes += record->outcome.answer->size();
        this->answered.push_back(identity);
        this->evictAnswers();
    }
    return repeats;
}

Resolution RequestLedger::resolve(const RequestIdentity &identity, std::uint64_t digest)
{
    this->dropExpired();
    if (auto refused = this->refusal(identity)) {
        const bool invalid = refused->outcome == Outcome::Invalid;
        return {invalid ? ResolutionKind::Invalid : ResolutionKind::Expired, std::move(*refused)};
    }
    Record *known = this->find(identity);
    if (known == nullptr) {
        Record *created = this->insert(identity, digest);
        if (created == nullptr) {
            // Without a record the id could still run here, so nothing certain can be said.
            return {ResolutionKind::Expired, {Outcome::Unknown, Reason::AnswerExpired, nullptr}};
        }
        created->fenced = true;
        created->outcome = {Outcome::NotRun, Reason::Fenced, nullptr};
        return {ResolutionKind::Fenced, created->outcome};
    }
    if (known->digest != digest) {
        return {ResolutionKind::Invalid, {Outcome::Invalid, Reason::WrongIdentity, nullptr}};
    }
    if (known->running) {
        return {ResolutionKind::InProgress, {Outcome::Unknown, Reason::InProgress, nullptr}};
    }
    if (known->fenced) {
        return {ResolutionKind::Fenced, known->outcome};
    }
    const bool expired = known->outcome.reason == Reason::AnswerExpired;
    return {expired ? ResolutionKind::Expired : ResolutionKind::Completed, known->outcome};
}

std::optional<RecordedOutcome> RequestLedger::refusal(const RequestIdentity &identity) const
{
    if (identity.incarnation != this->own) {
        return RecordedOutcome{Outcome::Unknown, Reason::OwnerUnreachable, nullptr};
    }
    switch (this->periods.check(identity.period)) {
    case PeriodCheck::Acceptable:
        return std::nullopt;
    case PeriodCheck::NotBegun:
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
        // A caller told not-run sends the request again under a new id. If the refused id could run
        // later, from a delayed duplicate, the work would be done twice.
        this->closedThrough = std::max(this->closedThrough.value_or(0), identity.period);
    }
    if (this->closedThrough && identity.period <= *this->closedThrough) {
        return nullptr;
    }
    Record &record = this->byPeriod[identity.period][identity.nonce];
    record.digest = digest;
    ++this->recordCount;
    return &record;
}

void RequestLedger::dropExpired()
{
    for (std::size_t dropped = 0; dropped < DropBatch && !this->byPeriod.empty(); ++dropped) {
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
            // Its repeats are still to be answered, and its outcome is still to come.
            return;
        }
        this->forget(record->second);
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
            this->forget(*record);
            record->outcome = {Outcome::Unknown, Reason::AnswerExpired, nullptr};
        }
    }
}

void RequestLedger::forget(Record &record)
{
    if (record.outcome.answer) {
        this->bytes -= record.outcome.answer->size();
        record.outcome.answer.reset();
    }
}

} // namespace bronzeshed
