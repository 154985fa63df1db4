#include "entry/ledgercoordinator.h"

#include "recordingexchange.h"

#include <boost/test/unit_test.hpp>

using namespace bronzeshed;

namespace {

class FakePeers : public LedgerPeers
{
public:
    bool sendQuery(LedgerQuery query) override
    {
        this->queries.push_back(std::move(query));
        return true;
    }

    std::vector<LedgerQuery> queries;
};

struct Fixture
{
    /** Sends a call; its exchange is the last of this->exchanges. */
    bool admit(Incarnation incarnation, char nonce)
    {
        this->exchanges.push_back(std::make_shared<RecordingExchange>());
        this->lastCall = this->lastCall.next();
        return this->coordinator.admit({this->lastCall, identity(incarnation, nonce), 5,
                                        this->clock.now() + std::chrono::seconds(2),
                                        this->exchanges.back()},
                                       this->members);
    }

    static RequestIdentity identity(Incarnation incarnation, char nonce)
    {
        return {incarnation, 0, std::string(16, nonce)};
    }

    /** "outcome/reason" of the response to call @p index, or the count if there is not exactly one.
     */
    std::string result(std::size_t index) const { return this->exchanges.at(index)->result(); }

    void advanceTime(Duration time)
    {
        this->clock.advance(time);
        this->timers.fire(this->clock.now());
    }

    static constexpr Incarnation Own{1};
    static constexpr Incarnation Other{2};
    ManualClock clock;
    TimerService timers;
    FakePeers peers;
    LedgerCoordinator coordinator{this->clock, this->timers, Own, LedgerLimits{}, this->peers};
    std::vector<Member> members;
    std::vector<std::shared_ptr<RecordingExchange>> exchanges;
    CallId lastCall;
};

Member memberWithLedger(Incarnation incarnation)
{
    Member member;
    member.incarnation = incarnation;
    member.ledgerEndpoint = {"127.0.0.1", 9};
    return member;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(ledger_coordinator, Fixture)

// Guards P4 and P2 against a repeat that runs, that is answered before the first request has ended,
// or that gets another response than the first. One repeat arrives before the end, one after it.
BOOST_AUTO_TEST_CASE(repeats_get_the_response_of_the_first)
{
    BOOST_TEST(this->admit(Own, 'a'));
    BOOST_TEST(!this->admit(Own, 'a'));
    BOOST_TEST(this->result(1) == "0 responses");
    HttpResponse response = makeTextResponse(201, "made");
    response.headers.set("Bronzeshed-Outcome", "answered");
    this->coordinator.complete(identity(Own, 'a'), Outcome::Answered, Reason::None, response);
    BOOST_TEST(!this->admit(Own, 'a'));
    for (const std::size_t repeat : {1, 2}) {
        BOOST_TEST(this->result(repeat) == "answered/");
        BOOST_TEST(this->exchanges.at(repeat)->responses.front().status == 201U);
        BOOST_TEST(this->exchanges.at(repeat)->responses.front().body == "made");
    }
    BOOST_TEST(this->coordinator.waitingCalls() == 0U);
}

// Guards P3 against a duplicate that runs after its id was answered with not-run. This happens if
// the ledger does not record a refusal while the entry drains.
BOOST_AUTO_TEST_CASE(a_refused_id_stays_refused)
{
    BOOST_TEST(this->admit(Own, 'a'));
    this->coordinator.complete(identity(Own, 'a'), Outcome::NotRun, Reason::Draining, {});
    BOOST_TEST(!this->admit(Own, 'a'));
    BOOST_TEST(this->result(1) == "not-run/draining");
}

// Guards against a repeat that waits beyond its deadline or is answered twice. Here the first
// request ends after the deadline of the repeat.
BOOST_AUTO_TEST_CASE(a_waiting_repeat_keeps_its_deadline)
{
    this->admit(Own, 'a');
    this->admit(Own, 'a');
    this->advanceTime(std::chrono::seconds(2));
    BOOST_TEST(this->result(1) == "unknown/in-progress");
    this->coordinator.complete(identity(Own, 'a'), Outcome::Unknown, Reason::UpstreamFailed, {});
    BOOST_TEST(this->result(1) == "unknown/in-progress");
}

// Guards P4 at a second entry. A request whose id belongs to another entry must not run here, and
// is answered with not-run only if the owner has fenced the id. Otherwise the outcome is unknown:
// if the owner is not a member, reports the id in progress, is unreachable, or replies too late.
BOOST_AUTO_TEST_CASE(ids_of_other_entries_are_resolved_by_their_owner)
{
    BOOST_TEST(!this->admit(Other, 'a'));
    BOOST_TEST(this->result(0) == "unknown/owner-unreachable");
    this->members.push_back(memberWithLedger(Other));
    for (const char nonce : {'b', 'c', 'd', 'e'}) {
        BOOST_TEST(!this->admit(Other, nonce));
    }
    BOOST_REQUIRE(this->peers.queries.size() == 4U);
    BOOST_TEST(this->peers.queries[0].id.value() == identity(Other, 'b').toId().value());
    BOOST_TEST(this->peers.queries[0].digest == 5U);
    const RecordedOutcome notRun{Outcome::NotRun, Reason::Fenced, nullptr};
    const auto send = [this](std::size_t query, std::optional<Resolution> resolution) {
        this->coordinator.handleResult({this->peers.queries.at(query).call, std::move(resolution)});
    };
    send(0, Resolution{ResolutionKind::Fenced, notRun});
    send(1, Resolution{ResolutionKind::InProgress, notRun});
    send(2, std::nullopt);
    this->advanceTime(LedgerCallTimeout);
    send(3, Resolution{ResolutionKind::Fenced, notRun});
    BOOST_TEST(this->result(1) == "not-run/fenced");
    BOOST_TEST(this->result(2) == "unknown/answer-expired");
    BOOST_TEST(this->result(3) == "unknown/owner-unreachable");
    BOOST_TEST(this->result(4) == "unknown/owner-unreachable");
}

// Guards P4 against a request that runs after its repeat was answered with not-run. This happens if
// the repeat reaches another entry first, whose query must fence the id here.
BOOST_AUTO_TEST_CASE(a_fenced_id_never_runs)
{
    const IncomingLedgerQuery question{IncomingQueryId(1), identity(Own, 'a').toId(), 5};
    BOOST_CHECK(this->coordinator.resolve(question).kind == ResolutionKind::Fenced);
    BOOST_TEST(!this->admit(Own, 'a'));
    BOOST_TEST(this->result(0) == "not-run/fenced");
    const IncomingLedgerQuery malformed{IncomingQueryId(2), RequestId("x"), 5};
    BOOST_CHECK(this->coordinator.resolve(malformed).kind == ResolutionKind::Invalid);
}

// Guards P4 after a change of the incarnation against two faults: a repeat of an earlier id that
// runs, and the late end of an earlier call that is recorded for a new call with the same period
// and nonce.
BOOST_AUTO_TEST_CASE(a_restart_keeps_earlier_ids_apart)
{
    BOOST_TEST(this->admit(Own, 'a'));
    this->coordinator.restart(Other, Duration::zero());
    BOOST_TEST(!this->admit(Own, 'a'));
    BOOST_TEST(this->result(1) == "unknown/owner-unreachable");
    BOOST_TEST(this->admit(Other, 'a'));
    this->coordinator.complete(identity(Own, 'a'), Outcome::Answered, Reason::None, {});
    BOOST_TEST(!this->admit(Other, 'a'));
    BOOST_TEST(this->result(3) == "0 responses");
}

BOOST_AUTO_TEST_SUITE_END()
