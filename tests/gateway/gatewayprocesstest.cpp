#include "gatewayworld.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <thread>

using namespace bronzeshed;
using namespace std::chrono_literals;

namespace {

/** A configuration is in force within this time after the store confirmed it. */
constexpr std::chrono::milliseconds ConfigLimit{2500};
/** The same for an instance that the store refuses to serve. */
constexpr std::chrono::milliseconds StretchedLimit{7500};

bool servesWithin(const Endpoint &gateway, const std::string &path, Duration limit)
{
    const TimePoint end = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < end) {
        if (GatewayWorld::call(gateway, "GET", path, "probe").status == 200) {
            return true;
        }
        std::this_thread::sleep_for(50ms);
    }
    return false;
}

} // namespace

BOOST_AUTO_TEST_SUITE(gateway_process)

// Guards against requests that are not answered, are answered by another route's service, or are
// refused with anything but 404 on a path without route.
BOOST_AUTO_TEST_CASE(requests_follow_their_routes)
{
    GatewayWorld world(1, 2);
    const Endpoint gateway = world.gateways[0].callers;
    const HttpResponse read = GatewayWorld::call(gateway, "GET", "/reads/a", "r1");
    BOOST_TEST(read.status == 200U);
    BOOST_TEST(read.body == RegisteredUpstream::bodyOf("r1"));
    BOOST_TEST(read.headers.find("X-Bronzeshed-Server-Signature").has_value());
    BOOST_TEST(GatewayWorld::call(gateway, "POST", "/orders/a", "o1").status == 200U);
    BOOST_TEST(world.runs.countAt("orders-2") + world.runs.countAt("orders-3") == 1U);
    BOOST_TEST(GatewayWorld::call(gateway, "GET", "/none/a", "n1").status == 404U);
}

// Guards against instances that keep an old configuration: with a healthy store, with lost
// history, and while the store refuses one instance in each way it can.
BOOST_AUTO_TEST_CASE(a_configuration_is_in_force_on_every_instance)
{
    GatewayWorld world(3, 1);
    world.configure(true);
    for (const TestGateway &gateway : world.gateways) {
        BOOST_TEST(servesWithin(gateway.callers, "/extra/a", ConfigLimit), gateway.id);
    }
    bool extra = false;
    for (const StoreFault fault :
         {StoreFault::Silent, StoreFault::Busy, StoreFault::TooMany, StoreFault::Reset}) {
        // The first instance follows the store for the others.
        for (const std::size_t cut : {0U, 2U}) {
            world.gateways[cut].storePort->setFault(fault);
            world.configure(extra);
            const std::string id = "c" + std::to_string(world.version);
            const unsigned expected = extra ? 200 : 404;
            for (const TestGateway &gateway : world.gateways) {
                const TimePoint end = std::chrono::steady_clock::now() + StretchedLimit;
                unsigned status = 0;
                while (status != expected && std::chrono::steady_clock::now() < end) {
                    status = GatewayWorld::call(gateway.callers, "GET", "/extra/a", id).status;
                }
                BOOST_TEST(status == expected, gateway.id << " with fault " << int(fault));
            }
            world.gateways[cut].storePort->setFault(StoreFault::None);
            extra = !extra;
        }
    }
    world.store.dropHistory();
    world.configure(true);
    for (const TestGateway &gateway : world.gateways) {
        BOOST_TEST(servesWithin(gateway.callers, "/extra/a", ConfigLimit), gateway.id);
    }
}

// Guards against a second run of an order whose answer was lost, against a promise that it did not
// run, and against a remedy that asks the caller to repeat it.
BOOST_AUTO_TEST_CASE(an_order_with_a_lost_answer_is_not_repeated)
{
    GatewayWorld world(1, 2);
    for (const auto &upstream : world.upstreams) {
        upstream->setFault(UpstreamFault::LoseAnswer);
    }
    const HttpResponse lost
        = GatewayWorld::call(world.gateways[0].callers, "POST", "/orders/a", "o1");
    BOOST_TEST(lost.status == 504U);
    BOOST_TEST(!lost.headers.find("Bronzeshed-Remedy").has_value());
    BOOST_TEST(world.runs.count("o1") == 1U);
    GatewayWorld::call(world.gateways[0].callers, "GET", "/reads/a", "r1");
    BOOST_TEST(world.runs.count("r1") == 2U);
}

// Guards against a refusal that does not say when to come back, or that comes late.
BOOST_AUTO_TEST_CASE(a_refused_order_is_told_when_to_come_back)
{
    GatewayWorld world(1, 1);
    for (const auto &upstream : world.upstreams) {
        upstream->setFault(UpstreamFault::Shed);
    }
    const TimePoint start = std::chrono::steady_clock::now();
    const HttpResponse refused
        = GatewayWorld::call(world.gateways[0].callers, "POST", "/orders/a", "o1");
    BOOST_TEST(refused.status == 503U);
    BOOST_TEST(refused.headers.find("Retry-After").has_value());
    BOOST_TEST(world.runs.count("o1") == 0U);
    BOOST_TEST((std::chrono::steady_clock::now() - start < 1s));
}

// Guards against work that a leaving upstream still gets, and against an upstream that stays out
// after it came back.
BOOST_AUTO_TEST_CASE(a_leaving_upstream_gets_no_more_work)
{
    GatewayWorld world(2, 2);
    world.registerUpstream(0, "draining");
    std::this_thread::sleep_for(ConfigLimit);
    const unsigned before = world.runs.countAt("reads-0");
    for (int i = 0; i < 40; ++i) {
        const auto &gateway = world.gateways[i % 2U].callers;
        const std::string id = "d" + std::to_string(i);
        BOOST_TEST(GatewayWorld::call(gateway, "GET", "/reads/a", id).status == 200U);
    }
    BOOST_TEST(world.runs.countAt("reads-0") == before);
}

// Guards against an answer that is cut off by a planned stop, and against a stopping instance that
// still says it is ready.
BOOST_AUTO_TEST_CASE(a_planned_stop_cuts_off_nothing)
{
    GatewayWorld world(2, 2);
    for (const auto &upstream : world.upstreams) {
        upstream->setWork(1500ms);
    }
    HttpResponse answer;
    std::thread caller([&] {
        answer = GatewayWorld::call(world.gateways[0].callers, "POST", "/orders/a", "o1", 3s);
    });
    std::this_thread::sleep_for(300ms);
    world.gateways[0].process->signal(SIGTERM);
    std::this_thread::sleep_for(500ms);
    BOOST_TEST(GatewayWorld::statusOf(world.gateways[0].readiness, "/readiness") == 503U);
    caller.join();
    BOOST_TEST(answer.status == 200U);
    BOOST_TEST((world.gateways[0].process->waitForExit(6s) == 0));
}

// Guards against an instance that starts while the store is away and says that it is ready, or
// answers 404, before it knows a configuration.
BOOST_AUTO_TEST_CASE(without_a_configuration_nothing_is_promised)
{
    GatewayWorld world(1, 1);
    TestGateway &gateway = world.gateways[0];
    gateway.process->kill();
    gateway.storePort->setFault(StoreFault::Busy);
    world.start(gateway);
    BOOST_TEST(GatewayWorld::statusOf(gateway.readiness, "/readiness") == 503U);
    BOOST_TEST(GatewayWorld::call(gateway.callers, "GET", "/reads/a", "r1").status == 503U);
    gateway.storePort->setFault(StoreFault::None);
    BOOST_TEST(servesWithin(gateway.callers, "/reads/a", 5s));
}

// Guards against watches that are sent to a store that is away: each call is paid for, and the
// renewals of the lease show when it is back.
BOOST_AUTO_TEST_CASE(a_store_that_is_away_is_not_watched)
{
    GatewayWorld world(1, 1);
    FaultyStorePort &port = *world.gateways[0].storePort;
    port.setFault(StoreFault::Busy);
    world.store.dropHistory();
    std::this_thread::sleep_for(1s);
    const unsigned before = port.watches();
    std::this_thread::sleep_for(3s);
    BOOST_TEST(port.watches() == before);
    port.setFault(StoreFault::None);
    world.configure(true);
    BOOST_TEST(servesWithin(world.gateways[0].callers, "/extra/a", ConfigLimit));
}

// Guards against a whole zone that watches the store because a waiting watch of its relay was cut.
BOOST_AUTO_TEST_CASE(a_cut_watch_does_not_cost_a_zone_its_relay)
{
    GatewayWorld world(3, 1);
    std::this_thread::sleep_for(2s);
    const unsigned before
        = world.gateways[1].storePort->watches() + world.gateways[2].storePort->watches();
    world.store.dropHistory();
    world.configure(true);
    for (const TestGateway &gateway : world.gateways) {
        BOOST_TEST(servesWithin(gateway.callers, "/extra/a", ConfigLimit), gateway.id);
    }
    std::this_thread::sleep_for(2s);
    const unsigned after
        = world.gateways[1].storePort->watches() + world.gateways[2].storePort->watches();
    BOOST_TEST(after == before);
}

// Guards against log lines that come only when a block of them is full: the last ones before a
// crash would be missing.
BOOST_AUTO_TEST_CASE(a_decision_is_logged_at_once)
{
    GatewayWorld world(1, 1);
    GatewayWorld::call(world.gateways[0].callers, "GET", "/reads/a", "logged-1");
    ChildProcess &process = *world.gateways[0].process;
    BOOST_TEST(process.waitForLine("event=call_finished request_id=logged-1 ", 1s));
}

BOOST_AUTO_TEST_SUITE_END()
