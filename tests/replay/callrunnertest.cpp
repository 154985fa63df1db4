#include "replay/callrunner.h"

#include "standins/echoanswer.h"

#include <boost/test/unit_test.hpp>
#include <deque>

using namespace bronzeshed;

namespace {

struct Sent
{
    Endpoint endpoint;
    HttpRequest request;
    CallTransport::Callback callback;

    std::string id() const
    {
        return this->request.headers.find("Bronzeshed-Request-Id").value_or("");
    }
};

/** Keeps what is sent until the test answers it. */
class ManualTransport : public CallTransport
{
public:
    void send(const Endpoint &endpoint, const HttpRequest &request, ConnectionUse /*use*/,
              Duration /*timeout*/, Callback callback) override
    {
        this->sent.push_back({endpoint, request, std::move(callback)});
    }

    Sent take()
    {
        BOOST_REQUIRE(!this->sent.empty());
        Sent first = std::move(this->sent.front());
        this->sent.pop_front();
        return first;
    }

    std::deque<Sent> sent;
};

ExchangeResult makeResult(unsigned status, const std::string &outcome, const std::string &body)
{
    ExchangeResult result;
    result.status = ExchangeStatus::Answered;
    result.response = makeTextResponse(status, body);
    result.response.headers.add("Bronzeshed-Outcome", outcome);
    return result;
}

ExchangeResult makeAnswer(const Sent &sent)
{
    return makeResult(200, "answered", makeEchoAnswer(sent.request));
}

struct Caller
{
    Caller()
    {
        ClassTarget reads;
        reads.repeatable = true;
        reads.deadline = std::chrono::milliseconds(500);
        this->declaration.classes[ClassName("reads")] = reads;
        ClassTarget orders = reads;
        orders.repeatable = false;
        this->declaration.classes[ClassName("orders")] = orders;
    }

    void start(const std::string &className)
    {
        TraceCall call;
        call.className = ClassName(className);
        call.method = "POST";
        call.path = "/x";
        call.bodyBytes = 10;
        this->runner.start(0, call, this->clock.now());
    }

    void answerLookup()
    {
        const Sent lookup = this->transport.take();
        BOOST_REQUIRE(lookup.request.path() == "/bronzeshed/lookup");
        lookup.callback(
            makeResult(200, "answered",
                       R"({"valid_ms":8000,"entries":[)"
                       R"({"address":"127.0.0.1:1","region":"near","ticket":"t1-0"},)"
                       R"({"address":"127.0.0.1:2","region":"far","ticket":"t2-0"}]})"));
    }

    void advance(Duration time)
    {
        this->clock.advance(time);
        this->timers.fire(this->clock.now());
    }

    void pause() { this->advance(CallerOptions{}.pause); }

    const CallRecord &record() { return this->runner.records().at(0); }

    ManualClock clock;
    TimerService timers;
    SeededRandom random{1};
    ManualTransport transport;
    Declaration declaration;
    LookupDirectory directory{clock, timers, transport, {{"127.0.0.1", 9}}};
    CallRunner runner{clock, timers, random, transport, directory, declaration, CallerOptions{}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(callrunner, Caller)

// Guards against coordinated omission: a call that starts late, because the replay itself was held
// up, counts its latency from the time it was due.
BOOST_AUTO_TEST_CASE(latency_counts_from_the_scheduled_time)
{
    TraceCall call;
    call.className = ClassName("reads");
    const TimePoint due = this->clock.now();
    this->clock.advance(std::chrono::milliseconds(100));
    this->runner.start(0, call, due);
    this->answerLookup();
    const Sent sent = this->transport.take();
    this->clock.advance(std::chrono::milliseconds(5));
    sent.callback(makeAnswer(sent));
    BOOST_TEST(this->record().latency.count() == 105000000);
}

// Guards against reported latencies that leave out the way to an entry of another region and back.
BOOST_AUTO_TEST_CASE(latency_includes_the_distance_to_the_entry)
{
    CallerOptions options;
    options.callerLatency = std::chrono::milliseconds(1);
    options.regionLatency = std::chrono::milliseconds(20);
    CallRunner distant(this->clock, this->timers, this->random, this->transport, this->directory,
                       this->declaration, options);
    TraceCall call;
    call.className = ClassName("reads");
    call.region = RegionName("near");
    distant.start(0, call, this->clock.now());
    this->answerLookup();
    this->advance(std::chrono::milliseconds(1));
    this->transport.take().callback({ExchangeStatus::NotSent, {}});
    this->advance(std::chrono::milliseconds(1));
    this->advance(std::chrono::milliseconds(20));
    BOOST_TEST(this->transport.sent.empty());
    this->advance(std::chrono::milliseconds(1));
    const Sent sent = this->transport.take();
    sent.callback(makeAnswer(sent));
    this->advance(std::chrono::milliseconds(21));
    BOOST_TEST(distant.records().at(0).latency.count() == 44000000);
}

// Guards against a second run: what may have run is repeated under the same identity only.
BOOST_AUTO_TEST_CASE(lost_connection_repeats_the_same_identity)
{
    this->start("orders");
    this->answerLookup();
    const Sent first = this->transport.take();
    BOOST_TEST(first.id().starts_with("t1-0-"));
    first.callback({ExchangeStatus::Failed, {}});
    this->pause();
    const Sent second = this->transport.take();
    BOOST_TEST(second.id() == first.id());
    // The entry is gone; the next one can resolve the identity, but must not get a new one.
    second.callback({ExchangeStatus::NotSent, {}});
    const Sent third = this->transport.take();
    BOOST_TEST(third.endpoint.port == 2);
    BOOST_TEST(third.id() == first.id());
    third.callback(makeResult(504, "unknown", ""));
    this->pause();
    const Sent fourth = this->transport.take();
    BOOST_TEST(fourth.id() == first.id());
    fourth.callback(makeAnswer(fourth));
    BOOST_TEST((this->record().end == CallEnd::Answered));
    BOOST_TEST(this->record().identities.size() == 1);
}

// Guards against an identity whose ticket belongs to another entry, and against reusing one that
// an entry has refused.
BOOST_AUTO_TEST_CASE(not_run_takes_the_next_address_and_a_new_identity)
{
    this->start("orders");
    this->answerLookup();
    const Sent first = this->transport.take();
    first.callback(makeResult(503, "not-run", ""));
    const Sent second = this->transport.take();
    BOOST_TEST(second.endpoint.port == 2);
    BOOST_TEST(second.id().starts_with("t2-0-"));
    second.callback({ExchangeStatus::NotSent, {}});
    this->pause();
    this->answerLookup(); // all addresses failed, so the cached answer is not used again
    const Sent third = this->transport.take();
    BOOST_TEST(third.id().starts_with("t1-0-"));
    BOOST_TEST(third.id() != first.id());
    third.callback(makeAnswer(third));
    BOOST_TEST((this->record().end == CallEnd::Answered));
    BOOST_TEST(this->record().identities[0].saidNotRun);
    BOOST_TEST(!this->record().identities[2].saidNotRun);
}

// Guards against endless repeats, which would add load to a system in trouble.
BOOST_AUTO_TEST_CASE(gives_up_after_a_few_repeats)
{
    this->start("orders");
    this->answerLookup();
    for (unsigned i = 0; i <= CallerOptions{}.repeatsAfterUnknown; ++i) {
        this->transport.take().callback({ExchangeStatus::TimedOut, {}});
        this->pause();
    }
    BOOST_TEST(this->transport.sent.empty());
    BOOST_TEST((this->record().end == CallEnd::Unknown));
}

// Guards against answers of other requests that are counted as good.
BOOST_AUTO_TEST_CASE(answer_to_another_request_is_wrong)
{
    this->start("reads");
    this->answerLookup();
    Sent sent = this->transport.take();
    sent.request.body += "x";
    sent.callback(makeAnswer(sent));
    BOOST_TEST((this->record().end == CallEnd::Wrong));
}

// Guards against calls that are still open at the end and missing from the report.
BOOST_AUTO_TEST_CASE(open_calls_stay_open_in_the_records)
{
    this->start("reads");
    this->runner.giveUp();
    BOOST_TEST((this->record().end == CallEnd::Open));
    this->answerLookup();
    BOOST_TEST(this->transport.sent.empty());
}

// Guards against entries that are used after the lookup answer expired.
BOOST_AUTO_TEST_CASE(lookup_answer_is_kept_as_long_as_it_is_valid)
{
    unsigned found = 0;
    const auto count = [&found](const std::vector<EntryAddress> &) { ++found; };
    this->directory.find({}, count);
    this->answerLookup();
    this->clock.advance(std::chrono::milliseconds(7999));
    this->directory.find({}, count);
    BOOST_TEST(found == 2);
    this->clock.advance(std::chrono::milliseconds(1));
    this->directory.find({}, count);
    BOOST_TEST(found == 2);
    BOOST_TEST(this->transport.sent.size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
