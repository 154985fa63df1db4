#include "storerelay.h"
#include "testfleet.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <thread>

using namespace bronzeshed;
using namespace std::chrono_literals;

namespace {

/** An accepted version is in force everywhere within this time (design, 1.4). */
constexpr std::chrono::seconds InForceLimit{12};
/** Twice the 2 s within which a leave mark takes effect, for a busy machine. */
constexpr std::chrono::seconds MarkLimit{4};
constexpr unsigned Calls = 50;

/** Sends calls to each entry and returns how many were answered. */
unsigned callAll(const TestFleet &fleet)
{
    HttpHeaders headers;
    headers.add("Bronzeshed-Class", "reads");
    unsigned answered = 0;
    for (const TestInstance &instance : fleet.instances) {
        for (unsigned i = 0; i < Calls; ++i) {
            const auto response
                = TestFleet::send(instance.callerEndpoint, "GET", "/silence", "", headers);
            answered += response.status == 200 ? 1U : 0U;
        }
    }
    return answered;
}

bool inForceEverywhere(const TestFleet &fleet, std::uint64_t version)
{
    return waitFor(
        [&] {
            for (const TestInstance &instance : fleet.instances) {
                if (TestFleet::versionInForce(instance.callerEndpoint) < version) {
                    return false;
                }
            }
            return true;
        },
        InForceLimit);
}

/** Applies on the newest version until it is accepted, and returns the base; 0 if it never is. */
std::uint64_t applyOnNewest(const TestInstance &instance, unsigned target)
{
    std::uint64_t base = 0;
    const bool accepted = waitFor([&] {
        base = TestFleet::versionInForce(instance.callerEndpoint);
        return TestFleet::apply(instance, testDeclaration(target), base, "a").status == 200;
    });
    return accepted ? base : 0;
}

} // namespace

BOOST_AUTO_TEST_SUITE(silence)

// Guards against a leave mark that waits behind changes that hang on a silent store, and against
// agents that do not recover when the store answers again.
BOOST_AUTO_TEST_CASE(silent_store_delays_no_drain_flag)
{
    TestFleet fleet(3, 2);
    BOOST_REQUIRE_EQUAL(callAll(fleet), 3 * Calls);
    BOOST_REQUIRE(TestFleet::executionsAt(fleet.upstreams[0]) > 0U);
    fleet.platform->freeze();
    std::vector<std::thread> operators;
    for (unsigned i = 0; i < 5; ++i) {
        operators.emplace_back(
            [&, i] { TestFleet::apply(fleet.instances[0], testDeclaration(300 + i), 1, "a"); });
    }
    std::this_thread::sleep_for(500ms);
    operators.emplace_back([&] { TestFleet::markLeaving(fleet.instances[0], "almanac-0"); });
    std::this_thread::sleep_for(MarkLimit);
    const unsigned before = TestFleet::executionsAt(fleet.upstreams[0]);
    BOOST_TEST(callAll(fleet) == 3 * Calls);
    BOOST_TEST(TestFleet::executionsAt(fleet.upstreams[0]) == before);
    fleet.platform->signal(SIGCONT);
    for (std::thread &thread : operators) {
        thread.join();
    }
    const std::uint64_t base = applyOnNewest(fleet.instances[2], 400);
    BOOST_REQUIRE(base > 0U);
    BOOST_TEST(inForceEverywhere(fleet, base + 1));
}

// Guards against an agent that waits for good on a silent connection to the store, needs that
// connection for a change, or stays behind after its connections to its peers were silent.
BOOST_AUTO_TEST_CASE(silent_connections_are_replaced)
{
    TestFleet fleet(1, 1);
    StoreRelay relay(fleet.platformEndpoint);
    fleet.instances.push_back(fleet.startInstance("entry-relay", relay.endpoint()));
    fleet.publishInstances();
    const TestInstance &behindRelay = fleet.instances[1];
    BOOST_REQUIRE(inForceEverywhere(fleet, 1));
    // Both agents of the region hold a watch; a moment without one is short.
    BOOST_REQUIRE(waitFor([&] {
        relay.silenceOpenConnections();
        return relay.silent > 0;
    }));
    BOOST_TEST(TestFleet::apply(behindRelay, testDeclaration(400), 1, "a").status == 200U);
    BOOST_TEST(inForceEverywhere(fleet, 2));
    BOOST_TEST(waitFor([&] { return relay.silent == 0; }));

    fleet.instances[0].agent->freeze();
    const std::uint64_t base = applyOnNewest(behindRelay, 300);
    BOOST_REQUIRE(base > 0U);
    fleet.instances[0].agent->signal(SIGCONT);
    BOOST_TEST(inForceEverywhere(fleet, base + 1));
}

BOOST_AUTO_TEST_SUITE_END()
