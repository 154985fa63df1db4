#include "standins/upstreamhandler.h"

#include "fakeexchange.h"
#include "standins/echoanswer.h"

#include <boost/test/unit_test.hpp>

using namespace bronzeshed;

namespace {

struct Upstream
{
    static UpstreamOptions makeOptions()
    {
        UpstreamOptions options;
        options.slots = 1;
        return options;
    }

    std::shared_ptr<FakeExchange> call(const std::string &id, const std::string &deadlineMs = {},
                                       std::uint64_t connection = 1)
    {
        HttpRequest request = makeRequest("POST", "/work");
        request.headers.add("Bronzeshed-Request-Id", id);
        if (!deadlineMs.empty()) {
            request.headers.add("Bronzeshed-Deadline-Ms", deadlineMs);
        }
        return exchange(this->handler, std::move(request), connection);
    }

    void setState(const std::string &state, std::uint64_t connection = 1)
    {
        const auto done
            = exchange(this->handler, makeRequest("PUT", "/control/state", state), connection);
        BOOST_REQUIRE(done->response->status == 200);
    }

    /** Lets all started work end, one piece after the other. */
    void finishAll()
    {
        while (const auto due = this->handler.nextDue()) {
            this->clock.set(*due);
            this->handler.fire(*due);
        }
    }

    std::string executions()
    {
        return exchange(this->handler, makeRequest("GET", "/executions"))->response->body;
    }

    ManualClock clock;
    UpstreamHandler handler{makeOptions(), clock, 7};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(upstreamhandler, Upstream)

// Guards against double executions that go unseen, and against counting one execution twice.
BOOST_AUTO_TEST_CASE(counts_each_execution_of_an_identity_once)
{
    this->call("a");
    this->call("b");
    BOOST_TEST(this->executions() == "a 1\n"); // b waits for the only slot
    this->finishAll();
    BOOST_TEST(this->executions() == "a 1\nb 1\n");
    this->call("a");
    this->finishAll();
    BOOST_TEST(this->executions() == "a 2\nb 1\n");
}

// Guards against a draining upstream that cuts off its work or runs what it refuses.
BOOST_AUTO_TEST_CASE(draining_finishes_work_and_refuses_new_work)
{
    const auto before = this->call("a");
    this->setState("draining");
    const auto after = this->call("b");
    BOOST_TEST(after->response->status == 503);
    BOOST_TEST(after->response->headers.find("Bronzeshed-Not-Started").value() == "1");
    BOOST_TEST(after->response->headers.find("Bronzeshed-State").value() == "draining");
    this->finishAll();
    BOOST_TEST(before->response->status == 200);
    BOOST_TEST(before->response->headers.find("Bronzeshed-State").value() == "draining");
    BOOST_TEST(this->executions() == "a 1\n");
}

// Guards against slots that stay taken by work whose client has left.
BOOST_AUTO_TEST_CASE(a_closed_connection_frees_the_slot)
{
    const auto left = this->call("a");
    const auto waiting = this->call("b");
    left->gone();
    BOOST_TEST(this->executions() == "a 1\nb 1\n");
    this->finishAll();
    BOOST_TEST(!left->response);
    BOOST_TEST(waiting->response->status == 200);
}

// Guards against running work after its deadline and against calling started work not started.
BOOST_AUTO_TEST_CASE(deadlines_end_waiting_and_running_work)
{
    const auto running = this->call("a", "0");
    const auto waiting = this->call("b", "0");
    this->handler.fire(this->clock.now());
    BOOST_TEST(running->response->status == 504);
    BOOST_TEST(!running->response->headers.find("Bronzeshed-Not-Started"));
    this->finishAll();
    BOOST_TEST(waiting->response.has_value());
    const bool saidNotStarted
        = waiting->response->headers.find("Bronzeshed-Not-Started").has_value();
    const bool ran = this->executions().find("b 1") != std::string::npos;
    BOOST_TEST(saidNotStarted != ran);
}

// Guards against a fault that also hits connections opened later.
BOOST_AUTO_TEST_CASE(only_open_connections_go_silent)
{
    const auto inProgress = this->call("a", "", 1);
    this->setState("silent", 5);
    const auto oldConnection = this->call("b", "", 4);
    const auto newConnection = this->call("c", "", 6);
    this->finishAll();
    BOOST_TEST(!inProgress->response);
    BOOST_TEST(!oldConnection->response);
    BOOST_TEST(newConnection->response->status == 200);
}

// Guards against health that shows a change at once, which no real endpoint does.
BOOST_AUTO_TEST_CASE(health_lags)
{
    UpstreamOptions options = makeOptions();
    options.reportLag = std::chrono::milliseconds(100);
    UpstreamHandler lagging(options, this->clock, 1);
    exchange(lagging, makeRequest("PUT", "/control/state", "draining"));
    const auto statusNow
        = [&] { return exchange(lagging, makeRequest("GET", "/health"))->response->status; };
    this->clock.advance(std::chrono::milliseconds(99));
    BOOST_TEST(statusNow() == 200);
    this->clock.advance(std::chrono::milliseconds(1));
    BOOST_TEST(statusNow() == 503);
}

// Guards against a slow state that does not slow anything or that does not end.
BOOST_AUTO_TEST_CASE(slow_work_takes_three_times_as_long_until_the_state_ends)
{
    const UpstreamOptions options;
    SeededRandom first(3);
    SeededRandom second(3);
    UpstreamBehaviour normal(options, this->clock.now(), first);
    UpstreamBehaviour slow(options, this->clock.now(), second);
    slow.setMode(this->clock.now(), UpstreamMode::Slow, std::chrono::seconds(1));
    const auto ratio = [&] {
        const auto slowNs = static_cast<double>(slow.drawWork(this->clock.now()).count());
        return slowNs / static_cast<double>(normal.drawWork(this->clock.now()).count());
    };
    BOOST_TEST(ratio() == 3.0, boost::test_tools::tolerance(0.001));
    this->clock.advance(std::chrono::seconds(1));
    BOOST_TEST(ratio() == 1.0, boost::test_tools::tolerance(0.001));
}

// Guards against accepting a truncated answer or the answer to another request.
BOOST_AUTO_TEST_CASE(echo_answer_belongs_to_one_request)
{
    HttpRequest request = makeRequest("POST", "/work?call=1", "body");
    request.headers.add("Bronzeshed-Request-Id", "a");
    const std::string answer = makeEchoAnswer(request);
    BOOST_TEST(isEchoAnswer(answer, request));
    BOOST_TEST(!isEchoAnswer(answer.substr(0, answer.size() - 1), request));
    HttpRequest other = request;
    other.body = "Body";
    BOOST_TEST(!isEchoAnswer(answer, other));
    other = request;
    other.headers.set("Bronzeshed-Request-Id", "b");
    BOOST_TEST(!isEchoAnswer(answer, other));
    other.headers.remove("Bronzeshed-Request-Id");
    BOOST_TEST(isEchoAnswer(answer, other));
}

BOOST_AUTO_TEST_SUITE_END()
