#include "replay/callrunner.h"

#include "standins/echoanswer.h"

#include <boost/test/unit_test.hpp>
#include <deque>

using namespace bronzeshed;

namespace {

struct SentRequest
{
    Endpoint endpoint;
    HttpRequest request;
    CallTransport::Callback callback;

    std::string id() const
    {
        return this->request.headers.find("Bronzeshed-Request-Id").value_or("");
    }
};

/** Stores the sent requests until the test answers them. */
class ManualTransport : public CallTransport
{
public:
    void send(const Endpoint &endpoint, const HttpRequest &request, ConnectionUse /*use*/,
              Duration /*timeout*/, Callback callback) override
    {
        this->sent.push_back({endpoint, request, std::move(callback)});
    }

    SentRequest take()
    {
        BOOST_REQUIRE(!this->sent.empty());
        SentRequest first = std::move(this->sent.front());
        this->sent.pop_front();
        return first;
    }

    std::deque<SentRequest> sent;
};

ExchangeResult makeResult(unsigned status, const std::string &outcome, const std::string &body)
{
    ExchangeResult result;
    result.status = ExchangeStatus::Answered;
    result.response = makeTextResponse(status, body);
    result.response.headers.add("Bronzeshed-Outcome", outcome);
    return result;
}

ExchangeResult makeAnswer(const SentRequest &sent)
{
    return makeResult(200, "answered", makeEchoAnswer(sent.request));
}

struct CallRunnerFixture
{
    CallRunnerFixture()
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
        const SentRequest lookup = this->transport.take();
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

    void advanceRetryDelay() { this->advance(CallerOptions{}.retryDelay); }

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

BOOST_FIXTURE_TEST_SUITE(callrunner, CallRunnerFixture)

// Guards against coordinated omission: if the replay is delayed and starts a call late, the latency
// must count from the time at which the call was due.
BOOST_AUTO_TEST_CASE(latency_counts_from_the_scheduled_time)
{
    TraceCall call;
    call.className = ClassName("reads");
    const TimePoint due = this->clock.now();
    this->clock.advance(std::chrono::milliseconds(100));
    this->runner.start(0, call, due);
    this->answerLookup();
    const SentRequest sent = this->transport.take();
    this->clock.advance(std::chrono::milliseconds(5));
    sent.callback(makeAnswer(sent));
    BOOST_TEST(this->record().latency.count() == 105000000);
}

// Guards against reported latencies that omit the simulated latency to and from an entry of another
// region, also after the entry of the own region was unreachable.
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
    const SentRequest sent = this->transport.take();
    sent.callback(makeAnswer(sent));
    this->advance(std::chrono::milliseconds(21));
    BOOST_TEST(distant.records().at(0).latency.count() == 44000000);
}

// Guards against a second execution: after a lost connection or the outcome "unknown" the request
// may have run, so the call must be repeated with the same identity.
BOOST_AUTO_TEST_CASE(lost_connection_repeats_the_same_identity)
{
    this->start("orders");
    this->answerLookup();
    const SentRequest first = this->transport.take();
    BOOST_TEST(first.id().starts_with("t1-0-"));
    first.callback({ExchangeStatus::Failed, {}});
    this->advanceRetryDelay();
    const SentRequest second = this->transport.take();
    BOOST_TEST(second.id() == first.id());
    // The entry is unreachable. The next entry can resolve the identity, so a new one must not be
    // used.
    second.callback({ExchangeStatus::NotSent, {}});
    const SentRequest third = this->transport.take();
    BOOST_TEST(third.endpoint.port == 2);
    BOOST_TEST(third.id() == first.id());
    third.callback(makeResult(504, "unknown", ""));
    this->advanceRetryDelay();
    const SentRequest fourth = this->transport.take();
    BOOST_TEST(fourth.id() == first.id());
    fourth.callback(makeAnswer(fourth));
    BOOST_TEST((this->record().end == CallEnd::Answered));
    BOOST_TEST(this->record().identities.size() == 1);
}

// Guards against an identity with the ticket of another entry, and against the reuse of an identity
// that an entry reported as not run. A call moves to the next entry after "not-run" and looks up
// entries again after all of them failed.
BOOST_AUTO_TEST_CASE(not_run_takes_the_next_address_and_a_new_identity)
{
    this->start("orders");
    this->answerLookup();
    const SentRequest first = this->transport.take();
    first.callback(makeResult(503, "not-run", ""));
    const SentRequest second = this->transport.take();
    BOOST_TEST(second.endpoint.port == 2);
    BOOST_TEST(second.id().starts_with("t2-0-"));
    second.callback({ExchangeStatus::NotSent, {}});
    this->advanceRetryDelay();
    this->answerLookup(); // all addresses failed, so the cached answer is discarded
    const SentRequest third = this->transport.take();
    BOOST_TEST(third.id().starts_with("t1-0-"));
    BOOST_TEST(third.id() != first.id());
    third.callback(makeAnswer(third));
    BOOST_TEST((this->record().end == CallEnd::Answered));
    BOOST_TEST(this->record().identities[0].reportedNotRun);
    BOOST_TEST(!this->record().identities[2].reportedNotRun);
}

// Guards against unlimited repeats of a call that times out each time, which would add load to an
// overloaded system.
BOOST_AUTO_TEST_CASE(repeats_after_unknown_are_limited)
{
    this->start("orders");
    this->answerLookup();
    for (unsigned i = 0; i <= CallerOptions{}.maxRepeatsAfterUnknown; ++i) {
        this->transport.take().callback({ExchangeStatus::TimedOut, {}});
        this->advanceRetryDelay();
    }
    BOOST_TEST(this->transport.sent.empty());
    BOOST_TEST((this->record().end == CallEnd::Unknown));
}

// Guards against counting a response as correct that belongs to another request.
BOOST_AUTO_TEST_CASE(answer_to_another_request_is_wrong)
{
    this->start("reads");
    this->answerLookup();
    SentRequest sent = this->transport.take();
    sent.request.body += "x";
    sent.callback(makeAnswer(sent));
    BOOST_TEST((this->record().end == CallEnd::Wrong));
}

// Guards against calls that are missing from the report because they are still open when the replay
// ends, and against calls that continue after it.
BOOST_AUTO_TEST_CASE(open_calls_stay_open_in_the_records)
{
    this->start("reads");
    this->runner.abandonOpenCalls();
    BOOST_TEST((this->record().end == CallEnd::Open));
    this->answerLookup();
    BOOST_TEST(this->transport.sent.empty());
}

// Guards against the use of a cached lookup answer after its validity has expired.
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
