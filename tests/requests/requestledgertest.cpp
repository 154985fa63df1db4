#include "requests/requestledger.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <rapidcheck.h>
#include <set>

using namespace bronzeshed;

namespace {

/** Sets the RapidCheck seed, so that every run checks the same histories. */
struct FixedSeed
{
    FixedSeed() { ::setenv("RC_PARAMS", "seed=20261204 max_success=1000", 1); }
};

BOOST_TEST_GLOBAL_FIXTURE(FixedSeed);

constexpr Incarnation Own{7};
constexpr LedgerLimits Limits{6, 20};

/** Expected state of one id in the reference model. */
struct ExpectedRecord
{
    unsigned runs = 0;
    bool mustNotRun = false; ///< fenced, or rejected because the ledger was full
    std::uint64_t digest = 0;
    bool running = false;
    RecordedOutcome outcome;
    std::vector<CallId> waiting;
};

/** One step of a random history: kind of operation, nonce, period and digest. */
using Step = std::tuple<int, int, int, int>;

/** Applies each step to a ledger and compares the result with the reference model. */
class ModelComparison
{
public:
    void apply(const Step &step)
    {
        const auto [kind, nonce, period, digest] = step;
        const RequestIdentity identity{Own, static_cast<std::uint64_t>(period),
                                       std::string(16, static_cast<char>('0' + nonce))};
        ExpectedRecord &expected = this->expectedRecords[identity.toId()];
        const auto number = static_cast<std::uint64_t>(digest);
        if (kind <= 2) {
            this->begin(identity, expected, number);
        } else if (kind == 3) {
            this->complete(identity, expected, (nonce + period) % 3);
        } else if (kind == 4) {
            this->resolve(identity, expected, number);
        } else {
            this->clock.advance(PeriodClock::Length * (1 + digest));
        }
        RC_ASSERT(this->ledger.records() <= Limits.records);
        RC_ASSERT(this->ledger.answerBytes() <= Limits.answerBytes);
    }

private:
    bool isAcceptable(const RequestIdentity &identity) const
    {
        const std::uint64_t now = this->ledger.currentPeriod();
        return identity.period <= now + 1 && now <= identity.period + 10;
    }

    void begin(const RequestIdentity &identity, ExpectedRecord &expected, std::uint64_t digest)
    {
        this->lastCall = this->lastCall.next();
        const bool hasRoom = this->ledger.records() < Limits.records && !this->reportedFull;
        const LedgerDecision decision = this->ledger.begin(identity, digest, this->lastCall);
        if (decision.action == LedgerAction::Run) {
            RC_ASSERT(expected.runs == 0U);
            RC_ASSERT(!expected.mustNotRun);
            RC_ASSERT(this->isAcceptable(identity));
            expected.runs = 1;
            expected.running = true;
            expected.digest = digest;
            return;
        }
        if (!this->isAcceptable(identity)) {
            RC_ASSERT(decision.action == LedgerAction::Reply);
            RC_ASSERT(decision.reply.outcome == Outcome::Unknown
                      || decision.reply.outcome == Outcome::Invalid);
            return;
        }
        if (expected.runs == 0U && !expected.mustNotRun) {
            RC_ASSERT(!hasRoom);
            RC_ASSERT(decision.reply.reason == Reason::LedgerFull);
            this->reportedFull = expected.mustNotRun = true;
            return;
        }
        this->checkRepeat(decision, expected, digest);
    }

    void checkRepeat(const LedgerDecision &decision, ExpectedRecord &expected, std::uint64_t digest)
    {
        if (expected.runs == 0U) {
            RC_ASSERT(decision.action == LedgerAction::Reply);
            RC_ASSERT(decision.reply.outcome == Outcome::NotRun
                      || decision.reply.reason == Reason::WrongIdentity);
        } else if (expected.digest != digest) {
            RC_ASSERT(decision.action == LedgerAction::Reply);
            RC_ASSERT(decision.reply.reason == Reason::WrongIdentity);
        } else if (expected.running) {
            RC_ASSERT(decision.action == LedgerAction::Wait);
            expected.waiting.push_back(this->lastCall);
        } else {
            this->checkOutcome(decision.reply, expected.outcome);
        }
    }

    static void checkOutcome(const RecordedOutcome &actual, const RecordedOutcome &recorded)
    {
        if (recorded.answer && !actual.answer) {
            RC_ASSERT(actual.outcome == Outcome::Unknown);
            RC_ASSERT(actual.reason == Reason::AnswerExpired);
            return;
        }
        RC_ASSERT(actual.outcome == recorded.outcome);
        RC_ASSERT(actual.reason == recorded.reason);
        RC_ASSERT(actual.answer == recorded.answer);
    }

    void complete(const RequestIdentity &identity, ExpectedRecord &expected, int kind)
    {
        if (!expected.running) {
            return;
        }
        const std::vector<RecordedOutcome> outcomes{
            {Outcome::Answered, Reason::None,
             std::make_shared<RecordedAnswer>(RecordedAnswer{200, {}, std::string(15, 'b')})},
            {Outcome::Unknown, Reason::UpstreamFailed, nullptr},
            {Outcome::NotRun, Reason::UpstreamRefused, nullptr}};
        expected.outcome = outcomes.at(static_cast<std::size_t>(kind));
        expected.running = false;
        const auto repeats = this->ledger.complete(identity, expected.outcome);
        RC_ASSERT(repeats == expected.waiting);
        expected.waiting.clear();
    }

    void resolve(const RequestIdentity &identity, ExpectedRecord &expected, std::uint64_t digest)
    {
        const Resolution resolution = this->ledger.resolve(identity, digest);
        const bool reportsNotRun = resolution.result.outcome == Outcome::NotRun;
        if (expected.runs == 0U) {
            RC_ASSERT(!resolution.result.answer);
            expected.mustNotRun |= reportsNotRun;
            return;
        }
        RC_ASSERT(resolution.kind != ResolutionKind::Fenced);
        RC_ASSERT(!reportsNotRun || expected.outcome.outcome == Outcome::NotRun);
        RC_ASSERT(!resolution.result.answer || expected.digest == digest);
        if (resolution.kind == ResolutionKind::Completed) {
            RC_ASSERT(!expected.running);
            this->checkOutcome(resolution.result, expected.outcome);
        }
    }

    ManualClock clock;
    RequestLedger ledger{this->clock, Own, Limits};
    std::map<RequestId, ExpectedRecord> expectedRecords;
    CallId lastCall;
    bool reportedFull = false;
};

} // namespace

BOOST_AUTO_TEST_SUITE(request_ledger)

// Guards against an id that runs twice, runs after it was fenced or rejected, loses its record
// while it is still accepted, or gets the answer of another request. Random sequences of requests,
// repeats, completions, resolutions and clock steps run against a ledger that is small enough to
// fill up and evict answers.
BOOST_AUTO_TEST_CASE(matches_the_reference_model_on_random_histories)
{
    const auto step = rc::gen::tuple(rc::gen::inRange(0, 6), rc::gen::inRange(0, 3),
                                     rc::gen::inRange(0, 5), rc::gen::inRange(0, 2));
    BOOST_TEST(rc::check("ledger matches the reference model", [&] {
        ModelComparison comparison;
        for (const Step &next : *rc::gen::container<std::vector<Step>>(step)) {
            comparison.apply(next);
        }
    }));
}

// Guards against a ledger that accepts or fences ids of another entry process, whose requests are
// not recorded here. This happens when a caller repeats a request at another entry or after a
// restart of the owner.
BOOST_AUTO_TEST_CASE(rejects_ids_of_other_incarnations)
{
    ManualClock clock;
    RequestLedger ledger(clock, Own, Limits);
    const RequestIdentity foreign{Own.next(), 0, std::string(16, '0')};
    BOOST_CHECK(ledger.begin(foreign, 1, CallId(1)).reply.outcome == Outcome::Unknown);
    BOOST_CHECK(ledger.resolve(foreign, 1).result.outcome == Outcome::Unknown);
    BOOST_TEST(ledger.records() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
