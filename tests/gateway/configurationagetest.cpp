#include "gatewaydeployment.h"

#include <boost/test/unit_test.hpp>
#include <thread>

using namespace bronzeshed;
using namespace std::chrono_literals;

namespace {

/** Time within which a configuration confirmed by the store must be active. */
constexpr std::chrono::milliseconds ConfigLimit{2500};
/** Time after its start from which an instance must keep to ConfigLimit. */
constexpr std::chrono::milliseconds StartLimit{3000};

} // namespace

BOOST_AUTO_TEST_SUITE(configuration_age)

// The store leaves a watch of the relay unanswered and answers all other calls. Guards against
// instances that work by an old configuration until the long wait of that watch ends.
BOOST_AUTO_TEST_CASE(an_unanswered_watch_delays_no_configuration)
{
    GatewayDeployment deployment(2, 1);
    FaultyStorePort &port = *deployment.gateways[0].storePort;
    port.setFault(StoreFault::SilentWatches);
    const unsigned before = port.watches();
    // The change ends the present watch, and the relay sends the next one.
    deployment.configure();
    BOOST_REQUIRE(waitFor([&] { return port.watches() > before; }));
    port.setFault(StoreFault::None);
    deployment.configure(true);
    for (const TestGateway &gateway : deployment.gateways) {
        BOOST_TEST(GatewayDeployment::servesWithin(gateway.callers, "/extra/a", ConfigLimit),
                   gateway.id);
    }
}

// The first two instances of a zone stop answering. Guards against the others asking these two in
// turn until a configuration is seconds late, while the store would answer.
BOOST_AUTO_TEST_CASE(two_silent_relays_delay_no_configuration)
{
    GatewayDeployment deployment(4, 1);
    std::this_thread::sleep_for(1s); // until the others watch the relay
    for (const std::size_t relay : {0U, 1U}) {
        deployment.gateways[relay].process->freeze();
    }
    bool extra = false;
    // The changes meet the watches at different moments of their cycle.
    for (int change = 0; change < 8; ++change) {
        extra = !extra;
        deployment.configure(extra);
        const TimePoint limit = std::chrono::steady_clock::now() + ConfigLimit;
        for (const std::size_t other : {2U, 3U}) {
            BOOST_TEST(GatewayDeployment::answersWithin(deployment.gateways[other].callers,
                                                        "/extra/a", extra ? 200 : 404,
                                                        limit - std::chrono::steady_clock::now()),
                       "gateway " << other << ", change " << change);
        }
        std::this_thread::sleep_for(300ms);
    }
}

// The relay loses its watch just after an answer, while the store answers its other calls. Guards
// against followers whose view is as old as that of the relay and their own wait together.
BOOST_AUTO_TEST_CASE(a_relay_without_its_watch_delays_no_configuration_of_others)
{
    GatewayDeployment deployment(3, 1);
    FaultyStorePort &port = *deployment.gateways[0].storePort;
    bool extra = false;
    for (int change = 0; change < 3; ++change) {
        port.setFault(StoreFault::None);
        std::this_thread::sleep_for(3s); // until the others watch the relay again
        extra = !extra;
        // The change ends the present watch; the next one follows after a pause.
        deployment.configure(!extra);
        port.setFault(StoreFault::SilentWatches);
        deployment.configure(extra);
        const TimePoint limit = std::chrono::steady_clock::now() + ConfigLimit;
        for (const std::size_t other : {1U, 2U}) {
            BOOST_TEST(GatewayDeployment::answersWithin(deployment.gateways[other].callers,
                                                        "/extra/a", extra ? 200 : 404,
                                                        limit - std::chrono::steady_clock::now()),
                       "gateway " << other << ", change " << change);
        }
    }
}

// An instance starts without a relay while stale reads are seconds old. Guards against an instance
// that makes only stale reads until it finds its own registration in them.
BOOST_AUTO_TEST_CASE(an_instance_without_a_relay_starts_with_the_present_configuration)
{
    GatewayDeployment deployment(1, 1);
    TestGateway &gateway = deployment.gateways[0];
    gateway.process->kill();
    deployment.store.endLeases();
    deployment.store.holdStaleReads();
    deployment.configure(true);
    const TimePoint start = std::chrono::steady_clock::now();
    deployment.start(gateway);
    const Duration left = StartLimit - (std::chrono::steady_clock::now() - start);
    BOOST_TEST(GatewayDeployment::servesWithin(gateway.callers, "/extra/a", left));
}

BOOST_AUTO_TEST_SUITE_END()
