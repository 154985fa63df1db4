#include "testfleet.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <future>
#include <optional>

using namespace bronzeshed;

namespace {

/** Two entry instances and an upstream whose work takes @p workUs on average. */
struct Fixture
{
    void slowDown(unsigned workUs)
    {
        TestUpstream &upstream = this->fleet.upstreams.front();
        upstream.process = std::make_unique<ChildProcess>(
            "standin-upstream", std::vector<std::string>{"--work-us", std::to_string(workUs)});
        upstream.endpoint = upstream.process->endpoint();
        this->fleet.publishInstances();
        HttpHeaders headers;
        headers.add("Bronzeshed-Class", "reads");
        headers.add("Bronzeshed-Deadline-Ms", "200");
        for (const TestInstance &instance : this->fleet.instances) {
            const unsigned before = TestFleet::executionsAt(upstream);
            BOOST_REQUIRE(waitFor([&] {
                TestFleet::send(instance.callerEndpoint, "GET", "/", {}, headers);
                return TestFleet::executionsAt(upstream) > before;
            }));
        }
    }

    Endpoint entry(std::size_t position) const
    {
        return TestFleet::lookup(this->fleet.instances[0].callerEndpoint, "orders").at(position);
    }
    std::string newId() { return this->fleet.newRequestId(this->entry(0), "orders"); }

    static HttpResponse order(const Endpoint &entry, const std::string &id,
                              const std::string &body = "stone")
    {
        HttpHeaders headers;
        headers.add("Bronzeshed-Class", "orders");
        headers.add("Bronzeshed-Caller", "test");
        headers.add("Bronzeshed-Request-Id", id);
        return TestFleet::send(entry, "POST", "/orders", body, headers);
    }

    static std::string told(const HttpResponse &response)
    {
        return response.headers.find("Bronzeshed-Outcome").value_or("") + "/"
            + response.headers.find("Bronzeshed-Reason").value_or("");
    }

    unsigned runs(const std::string &id) const
    {
        const auto all = this->fleet.executions();
        const auto found = all.find(id);
        return found == all.end() ? 0 : found->second;
    }

    TestFleet fleet{2, 1};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(at_most_once, Fixture)

// Guards P4: a repeat that runs, at its own entry or at another, at the same time or later.
BOOST_AUTO_TEST_CASE(repeats_run_once_and_get_the_same_answer)
{
    this->slowDown(300000);
    const std::string id = this->newId();
    const auto send = [&] { return order(this->entry(0), id); };
    auto first = std::async(std::launch::async, send);
    auto second = std::async(std::launch::async, send);
    const HttpResponse answer = first.get();
    BOOST_TEST(answer.status == 200U);
    for (const HttpResponse &repeat : {second.get(), send(), order(this->entry(1), id)}) {
        BOOST_TEST(told(repeat) == "answered/");
        BOOST_TEST(repeat.body == answer.body);
    }
    BOOST_TEST(told(order(this->entry(0), id, "sand")) == "invalid/wrong-identity");
    BOOST_TEST(told(order(this->entry(1), id, "sand")) == "invalid/wrong-identity");
    BOOST_TEST(this->runs(id) == 1U);
}

// Guards P3: a request that runs after its repeat was told not-run.
BOOST_AUTO_TEST_CASE(an_id_fenced_through_another_entry_never_runs)
{
    const std::string id = this->newId();
    BOOST_TEST(told(order(this->entry(1), id)) == "not-run/fenced");
    BOOST_TEST(told(order(this->entry(0), id)) == "not-run/fenced");
    BOOST_TEST(this->runs(id) == 0U);
    BOOST_TEST(told(order(this->entry(0), this->newId())) == "answered/");
}

// Guards P4 against a second entry that runs the request of a lost one, and P3 against calling it
// not run.
BOOST_AUTO_TEST_CASE(the_repeat_of_a_lost_entrys_request_is_unknown)
{
    this->slowDown(9000000);
    const std::string id = this->newId();
    const Endpoint owner = this->entry(0);
    const Endpoint other = this->entry(1);
    auto lost = std::async(std::launch::async, [&] { return order(owner, id); });
    BOOST_REQUIRE(waitFor([&] { return this->runs(id) == 1; }));
    BOOST_TEST(told(order(other, id)) == "unknown/in-progress");
    for (const TestInstance &instance : this->fleet.instances) {
        if (instance.callerEndpoint == owner) {
            instance.entry->kill();
        }
    }
    BOOST_TEST(told(order(other, id)) == "unknown/owner-unreachable");
    BOOST_TEST(lost.get().status == 0U);
    BOOST_TEST(this->runs(id) == 1U);
}

// Guards against a second signal that waits for the drain like the first.
BOOST_AUTO_TEST_CASE(the_second_signal_ends_the_entry_at_once)
{
    const std::string agent = this->fleet.instances[0].agentEndpoint.toString();
    ChildProcess entry("bronzeshed-entry",
                       {"--region", "puget", "--zone", "puget-a", "--listen", "127.0.0.1:0",
                        "--agent", agent, "--drain-ms", "600000"});
    std::optional<int> exitCode;
    // Signals that are pending together arrive as one, so the second may have to be sent again.
    BOOST_TEST(waitFor([&] {
        entry.signal(SIGTERM);
        exitCode = entry.waitForExit(std::chrono::seconds(1));
        return exitCode.has_value();
    }));
    constexpr int Immediate = 3;
    BOOST_CHECK(exitCode == Immediate);
}

BOOST_AUTO_TEST_SUITE_END()
