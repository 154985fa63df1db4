#include "agent/operatorapi.h"
#include "keepersimulation.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <future>

using namespace bronzeshed;

namespace {

/** Passes the response to the waiting test through a promise. */
class WaitingExchange : public HttpExchange
{
public:
    void respond(HttpResponse response) override { this->promise.set_value(std::move(response)); }
    void onClientDisconnected(std::function<void()> /*callback*/) override { }

    std::promise<HttpResponse> promise;
};

/** Returns call counts set by the test. */
class FakeCalls : public FleetCallsSource
{
public:
    FleetCalls fleet;
    FleetCalls read() override { return this->fleet; }
};

/** Operator API of one agent with an in-memory store. */
struct Api
{
    explicit Api(const std::string &token = "secret")
        : api(*simulation.agents[0], simulation.store, *simulation.keepers[0], calls, token)
    {
    }
    ~Api() { this->api.stop(); }

    KeeperSimulation simulation{1};
    FakeCalls calls;
    OperatorApi api;

    HttpResponse send(const std::string &method, const std::string &target,
                      const HttpHeaders &headers, const std::string &body = {})
    {
        auto exchange = std::make_shared<WaitingExchange>();
        auto response = exchange->promise.get_future();
        this->api.handleRequest({method, target, headers, body}, exchange);
        BOOST_REQUIRE(response.wait_for(std::chrono::seconds(30)) == std::future_status::ready);
        return response.get();
    }
};

HttpHeaders headersWith(const std::string &token, const std::string &base = "1")
{
    HttpHeaders headers;
    headers.add("Authorization", "Bearer " + token);
    headers.add("Operator", "anna");
    headers.add("Base-Version", base);
    return headers;
}

std::string field(const HttpResponse &response, const char *key)
{
    return boost::json::serialize(boost::json::parse(response.body).at(key));
}

} // namespace

BOOST_AUTO_TEST_SUITE(operator_api)

// Guards against accepting reads and changes whose token is missing, truncated, extended or
// written in another case.
BOOST_AUTO_TEST_CASE(complete_token_is_required)
{
    Api api;
    const std::string text = KeeperSimulation::declaration(5);
    for (const char *token : {"", "s", "secre", "secret2", "SECRET", "secretsecret"}) {
        BOOST_TEST(api.send("GET", "/v1/status", headersWith(token)).status == 401U);
        BOOST_TEST(api.send("PUT", "/v1/declaration", headersWith(token), text).status == 401U);
    }
    BOOST_TEST(api.send("GET", "/v1/status", headersWith("secret")).status == 200U);
    BOOST_TEST(!equalsInConstantTime("secret", ""));
    BOOST_TEST(!isLoopback({"10.0.0.1", 80}));
    BOOST_TEST(isLoopback({"127.0.0.1", 80}));
}

// Guards against an agent that accepts changes although no operator token is configured.
BOOST_AUTO_TEST_CASE(without_token_only_reads_are_allowed)
{
    Api api("");
    BOOST_TEST(api.send("GET", "/v1/declaration", {}).status == 200U);
    BOOST_TEST(api.send("GET", "/v1/history", {}).status == 200U);
    BOOST_TEST(api.send("PUT", "/v1/declaration", headersWith(""), "").status == 403U);
    BOOST_TEST(api.send("POST", "/v1/leave?upstream=almanac-0", headersWith("")).status == 403U);
    BOOST_TEST(api.simulation.agents[0]->newest.version.value() == 1U);
}

// Guards against outcomes that an operator's tool cannot distinguish by status code, and against
// errors without a remedy.
BOOST_AUTO_TEST_CASE(each_outcome_has_its_status)
{
    Api api;
    const HttpHeaders headers = headersWith("secret");
    const std::string text = KeeperSimulation::declaration(5);
    BOOST_TEST(api.send("PUT", "/v1/declaration", headers, text).status == 200U);
    const HttpResponse conflict = api.send("PUT", "/v1/declaration", headers, text);
    BOOST_TEST(conflict.status == 409U);
    BOOST_TEST(field(conflict, "operator") == "\"anna\"");
    BOOST_TEST(api.send("PUT", "/v1/declaration", headersWith("secret", "2"), "x").status == 422U);
    BOOST_TEST(api.send("PUT", "/v1/declaration", headersWith("secret", "-"), text).status == 400U);
    BOOST_TEST(api.send("DELETE", "/v1/declaration", headers).status == 405U);
    BOOST_TEST(api.send("GET", "/v1/history?page=0", headers).status == 404U);
    HttpHeaders anonymous = headers;
    anonymous.remove("Operator");
    const HttpResponse missingOperator
        = api.send("POST", "/v1/leave?upstream=almanac-0", anonymous);
    BOOST_TEST(missingOperator.status == 400U);
    BOOST_TEST(field(missingOperator, "error").find("; ") != std::string::npos);
}

// Guards against a status response that lacks versions, drain flags or targets after an operator
// has set a drain flag.
BOOST_AUTO_TEST_CASE(status_shows_versions_drain_flags_and_targets)
{
    Api api;
    const HttpHeaders headers = headersWith("secret");
    BOOST_TEST(api.send("POST", "/v1/leave?upstream=almanac-1", headers).status == 200U);
    const HttpResponse status = api.send("GET", "/v1/status", headers);
    const auto root = boost::json::parse(status.body);
    BOOST_TEST(root.at("instances").at(0).at("version").as_int64() == 2);
    BOOST_TEST(root.at("upstreams").at(1).at("leaving").as_bool());
    BOOST_TEST(!root.at("upstreams").at(0).at("leaving").as_bool());
    BOOST_TEST(root.at("classes").at(0).at("answer_within_ms").as_int64() == 2);
    BOOST_TEST(field(api.send("GET", "/v1/history", headers), "entries").find("leave almanac-1")
               != std::string::npos);
    BOOST_TEST(api.send("POST", "/v1/return?upstream=almanac-1", headers).status == 200U);
    BOOST_TEST(!api.simulation.agents[0]->newest.drainFlags.at(UpstreamId("almanac-1")).leaving);
}

// Guards against a class that is reported to meet its target although fewer than 99 % of its calls
// were answered in time, and against an instance whose calls are missing from the counts without
// being listed.
BOOST_AUTO_TEST_CASE(status_shows_whether_a_target_is_met)
{
    Api api;
    const HttpHeaders headers = headersWith("secret");
    const auto state = [&](const CallCounts &counts) {
        api.calls.fleet.classes = {{ClassName("reads"), counts}};
        const auto response = api.send("GET", "/v1/status?calls=1", headers);
        const auto root = boost::json::parse(response.body);
        return std::string(root.at("classes").at(0).at("last_minute").at("state").as_string());
    };
    BOOST_TEST(state({}) == "no calls");
    BOOST_TEST(state({99, 1, 0, 0}) == "holds");
    BOOST_TEST(state({9899, 101, 0, 0}) == "missed");
    BOOST_TEST(state({98, 0, 1, 1}) == "missed");
    api.calls.fleet.notCounted = {InstanceId("i2")};
    BOOST_TEST(field(api.send("GET", "/v1/status?calls=1", headers), "not_counted") == "[\"i2\"]");
    BOOST_TEST(api.send("GET", "/v1/status", headers).body.find("last_minute")
               == std::string::npos);
}

// Guards against a slow store that blocks the thread of the HTTP server during a change.
BOOST_AUTO_TEST_CASE(changes_run_on_a_separate_thread)
{
    Api api;
    std::promise<void> release;
    bool blocked = false;
    api.simulation.store.beforeSwap = [&] {
        blocked = release.get_future().wait_for(std::chrono::seconds(30))
            == std::future_status::timeout;
    };
    auto exchange = std::make_shared<WaitingExchange>();
    auto response = exchange->promise.get_future();
    api.api.handleRequest(
        {"PUT", "/v1/declaration", headersWith("secret"), KeeperSimulation::declaration(5)},
        exchange);
    BOOST_TEST(api.send("GET", "/v1/declaration", headersWith("secret")).status == 200U);
    release.set_value();
    BOOST_TEST(response.get().status == 200U);
    BOOST_TEST(!blocked);
}

// Guards against a drain flag that takes effect late, because it is queued behind a change that
// waits for an unresponsive store.
BOOST_AUTO_TEST_CASE(drain_flag_is_active_while_the_store_hangs)
{
    Api api;
    std::promise<void> hanging;
    std::promise<void> release;
    bool blocked = false;
    api.simulation.store.beforeSwap = [&] {
        hanging.set_value();
        blocked = release.get_future().wait_for(std::chrono::seconds(30))
            == std::future_status::timeout;
    };
    auto apply = std::make_shared<WaitingExchange>();
    auto leave = std::make_shared<WaitingExchange>();
    api.api.handleRequest(
        {"PUT", "/v1/declaration", headersWith("secret"), KeeperSimulation::declaration(5)}, apply);
    hanging.get_future().wait();
    api.api.handleRequest({"POST", "/v1/leave?upstream=almanac-0", headersWith("secret"), ""},
                          leave);
    BOOST_TEST(api.simulation.agents[0]->newest.drainFlags.count(UpstreamId("almanac-0")) == 1U);
    release.set_value();
    BOOST_TEST(leave->promise.get_future().get().status == 200U);
    BOOST_TEST(!blocked);
}

BOOST_AUTO_TEST_SUITE_END()
