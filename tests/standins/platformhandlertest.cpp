#include "standins/platformhandler.h"

#include "fakeexchange.h"
#include "http/httpclient.h"

#include <boost/test/unit_test.hpp>

using namespace bronzeshed;

namespace {

HttpRequest makeWrite(const std::string &value, std::uint64_t expected)
{
    HttpRequest request = makeRequest("PUT", "/kv/key", value);
    request.headers.add("If-Revision", std::to_string(expected));
    return request;
}

struct Platform
{
    std::shared_ptr<FakeExchange> put(const std::string &target, const std::string &body = {})
    {
        return exchange(this->handler, makeRequest("PUT", target, body));
    }

    std::shared_ptr<FakeExchange> get(const std::string &target)
    {
        return exchange(this->handler, makeRequest("GET", target));
    }

    std::shared_ptr<FakeExchange> write(const std::string &value, std::uint64_t expected)
    {
        return exchange(this->handler, makeWrite(value, expected));
    }

    void advance(Duration step)
    {
        this->clock.advance(step);
        this->handler.fire(this->clock.now());
    }

    ManualClock clock;
    PlatformHandler handler{clock};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(platformhandler, Platform)

// Guards against a lost reply that also loses the write, which would test a different fault.
BOOST_AUTO_TEST_CASE(lost_reply_applies_the_write)
{
    this->put("/control/fault?count=1", "lose-reply");
    BOOST_TEST(this->get("/kv/key")->response->status == 404); // reads do not use up the count
    const auto lost = this->write("one", 0);
    BOOST_TEST(lost->dropped);
    BOOST_TEST(!lost->response);
    const auto read = this->get("/kv/key");
    BOOST_TEST(read->response->body == "one");
    BOOST_TEST(this->write("two", 1)->response->status == 200);
}

// Guards against an answer that reaches the client after all: the same over real connections.
BOOST_AUTO_TEST_CASE(lost_reply_closes_the_connection)
{
    HttpServer server({"127.0.0.1", 0}, HttpLimits{}, this->handler);
    const auto send = [&](const HttpRequest &request) {
        return sendHttpRequest(server.localEndpoint(), request, std::chrono::seconds(30));
    };
    send(makeRequest("PUT", "/control/fault?count=1", "lose-reply"));
    BOOST_CHECK_THROW(send(makeWrite("one", 0)), HttpClientError);
    BOOST_TEST(send(makeRequest("GET", "/kv/key")).body == "one");
}

// Guards against watches that outlive an outage and against outages that write or never end.
BOOST_AUTO_TEST_CASE(outage_ends_watches_and_writes_nothing)
{
    const auto watch = this->get("/kv/key?watch=0");
    this->put("/control/fault?count=2&part=store", "down");
    BOOST_TEST(watch->dropped);
    BOOST_TEST(this->write("one", 0)->dropped);
    BOOST_TEST(!this->get("/instances")->dropped);
    BOOST_TEST(this->get("/kv/key")->dropped);
    BOOST_TEST(this->get("/kv/key")->response->status == 404);
}

// Guards against a slow store that handles the request before the delay.
BOOST_AUTO_TEST_CASE(slow_store_acts_after_the_delay)
{
    this->put("/control/fault?count=1&delay-ms=50", "slow");
    const auto slow = this->write("one", 0);
    BOOST_TEST(this->get("/kv/key")->response->status == 404);
    this->advance(std::chrono::milliseconds(50));
    BOOST_TEST(slow->response->status == 200);
    BOOST_TEST(this->get("/kv/key")->response->body == "one");
}

// Guards against a restore that no watch sees, or that lowers the store's own revision.
BOOST_AUTO_TEST_CASE(restore_puts_an_older_value_back)
{
    this->write("one", 0);
    this->write("two", 1);
    const auto watch = this->get("/kv/key?watch=2");
    BOOST_TEST(this->put("/control/restore/key?steps=1")->response->status == 200);
    BOOST_TEST(watch->response->body == "one");
    BOOST_TEST(watch->response->headers.find("Revision").value() == "3");
    BOOST_TEST(this->put("/control/restore/key?steps=9")->response->status == 404);
}

// Guards against an instance list that is always up to date.
BOOST_AUTO_TEST_CASE(instance_list_lags)
{
    this->put("/control/instances", "[1]");
    BOOST_TEST(this->get("/instances")->response->body == "[1]");
    this->put("/control/instances?lag-ms=100", "[2]");
    this->advance(std::chrono::milliseconds(99));
    BOOST_TEST(this->get("/instances?revision=1")->response->status == 304);
    this->advance(std::chrono::milliseconds(1));
    BOOST_TEST(this->get("/instances?revision=1")->response->body == "[2]");
}

// Guards against two holders of one lease and against leases that never expire.
BOOST_AUTO_TEST_CASE(lease_has_one_holder_until_it_expires)
{
    const auto acquire = [&](const std::string &holder) {
        return this->put("/leases/name?ttl-ms=1000", holder)->response->status;
    };
    BOOST_TEST(acquire("a") == 200);
    BOOST_TEST(acquire("b") == 409);
    this->advance(std::chrono::milliseconds(999));
    BOOST_TEST(acquire("a") == 200);
    this->advance(std::chrono::milliseconds(1000));
    BOOST_TEST(this->get("/leases/name")->response->status == 404);
    BOOST_TEST(acquire("b") == 200);
}

// Guards against counters that count watches of clients that left, or control requests.
BOOST_AUTO_TEST_CASE(counters_show_the_use_of_the_store)
{
    this->write("one", 0);
    this->get("/kv/key");
    this->get("/kv/key?watch=1")->gone();
    const auto watch = this->get("/kv/key?watch=1");
    const auto counters = [&] { return this->get("/control/counters")->response->body; };
    BOOST_TEST(counters() == R"({"reads":3,"writes":1,"watches":1})");
    this->advance(std::chrono::seconds(10));
    BOOST_TEST(watch->response->status == 304);
    BOOST_TEST(counters() == R"({"reads":3,"writes":1,"watches":0})");
}

BOOST_AUTO_TEST_SUITE_END()
