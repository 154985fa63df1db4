#include "rpc/ledgerclient.h"
#include "rpc/ledgerserver.h"

#include <boost/test/unit_test.hpp>

using namespace bronzeshed;

namespace {

/** A ledger server and client. The test takes the place of their decision threads. */
struct Fixture
{
    /** Waits up to 30 s for the next event of a ring. */
    template<typename Event>
    Event await(EventRing<Event> &ring)
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(30);
        while (std::chrono::steady_clock::now() < end) {
            if (auto event = ring.tryPop()) {
                return std::move(*event);
            }
            this->wakeup.wait(std::chrono::milliseconds(50));
        }
        throw std::runtime_error("no event arrived");
    }

    Wakeup wakeup;
    EventRing<IncomingLedgerQuery> queries{16, this->wakeup};
    EventRing<LedgerResult> results{LedgerClient::MaxQueries, this->wakeup};
    LedgerServer server{{"127.0.0.1", 0}, this->queries};
    LedgerClient client{this->results};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ledger_rpc, Fixture)

// Guards against lossy conversion of a query or its resolution between two entries, such as a body
// that is truncated at a zero byte, and against replies that reach the wrong query.
BOOST_AUTO_TEST_CASE(carries_queries_and_answers)
{
    const RecordedAnswer answer{201, {{"A", "b"}}, std::string("body\0end", 8)};
    const std::vector<Resolution> sent{
        {ResolutionKind::Fenced, {Outcome::NotRun, Reason::Fenced, nullptr}},
        {ResolutionKind::InProgress, {Outcome::Unknown, Reason::InProgress, nullptr}},
        {ResolutionKind::Completed,
         {Outcome::Answered, Reason::None, std::make_shared<RecordedAnswer>(answer)}},
        {ResolutionKind::Expired, {Outcome::Unknown, Reason::AnswerExpired, nullptr}},
        {ResolutionKind::Invalid, {Outcome::Invalid, Reason::WrongIdentity, nullptr}}};
    for (std::uint64_t i = 0; i < sent.size(); ++i) {
        const Resolution &expected = sent.at(i);
        const RequestId id("id-" + std::to_string(i));
        BOOST_REQUIRE(this->client.sendQuery(
            {CallId(i), this->server.localEndpoint(), id, ~std::uint64_t{i}}));
        const IncomingLedgerQuery query = this->await(this->queries);
        BOOST_TEST(query.id.value() == id.value());
        BOOST_TEST(query.digest == ~std::uint64_t{i});
        this->server.reply({query.queryId, expected});
        const LedgerResult result = this->await(this->results);
        BOOST_TEST(result.call.value() == i);
        BOOST_REQUIRE(result.resolution.has_value());
        BOOST_CHECK(result.resolution->kind == expected.kind);
        BOOST_CHECK(result.resolution->result.outcome == expected.result.outcome);
        BOOST_CHECK(result.resolution->result.reason == expected.result.reason);
        BOOST_CHECK(!expected.result.answer || *result.resolution->result.answer == answer);
    }
}

// Guards against a repeated call that waits indefinitely because the owner of its id does not reply
// or has stopped, and against a late reply that is delivered to a later query.
BOOST_AUTO_TEST_CASE(reports_owners_that_do_not_answer)
{
    const Endpoint owner = this->server.localEndpoint();
    BOOST_REQUIRE(this->client.sendQuery({CallId(1), owner, RequestId("silent"), 0}));
    const IncomingLedgerQuery ignored = this->await(this->queries);
    const LedgerResult silent = this->await(this->results);
    BOOST_TEST(silent.call.value() == 1U);
    BOOST_TEST(!silent.resolution.has_value());

    this->server.reply(
        {ignored.queryId, {ResolutionKind::Fenced, {Outcome::NotRun, Reason::Fenced, nullptr}}});
    for (const char *id : {"first", "second"}) {
        BOOST_REQUIRE(
            this->client.sendQuery({CallId(std::string(id).size()), owner, RequestId(id), 0}));
    }
    std::vector<IncomingLedgerQuery> received{this->await(this->queries),
                                              this->await(this->queries)};
    for (const IncomingLedgerQuery &query : received) {
        const bool first = query.id.value() == "first";
        this->server.reply(
            {query.queryId, {first ? ResolutionKind::Expired : ResolutionKind::Invalid, {}}});
        const LedgerResult result = this->await(this->results);
        BOOST_TEST(result.call.value() == query.id.value().size());
        BOOST_REQUIRE(result.resolution.has_value());
        BOOST_CHECK((result.resolution->kind == ResolutionKind::Expired) == first);
    }

    this->server.stop();
    BOOST_REQUIRE(this->client.sendQuery({CallId(9), owner, RequestId("gone"), 0}));
    BOOST_TEST(!this->await(this->results).resolution.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
