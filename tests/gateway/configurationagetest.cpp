#include "gatewaydeployment.h"

#include <boost/test/unit_test.hpp>

using namespace bronzeshed;
using namespace std::chrono_literals;

namespace {

/** Time within which a configuration confirmed by the store must be active. */
constexpr std::chrono::milliseconds ConfigLimit{2500};

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

BOOST_AUTO_TEST_SUITE_END()
