#include "soakrun.h"

#include <boost/test/unit_test.hpp>

using namespace bronzeshed;
using namespace std::chrono_literals;

namespace {

constexpr unsigned Gateways = 2;
constexpr unsigned Callers = 12;
/** Requests that the upstream runs at once; with more callers than that it refuses some. */
constexpr unsigned UpstreamCapacity = 2;

const std::string DefaultSeeds = "1,2";
constexpr unsigned DefaultSeconds = 5;

/**
 * Faults beside upstreams that repeat their refusals. None of them makes a gateway avoid the only
 * upstream of a service for long, since nothing would be sent to it.
 */
void injectFault(GatewayDeployment &deployment, Random &random)
{
    TestGateway &gateway = deployment.gateways[random.below(Gateways)];
    FaultyProxy &proxy = *deployment.proxies[random.below(deployment.proxies.size())];
    switch (random.below(8)) {
    case 0:
        proxy.setFault(ProxyFault::Delayed);
        break;
    case 1:
        proxy.setFault(ProxyFault::Reset);
        proxy.setFault(ProxyFault::RepeatRefusals);
        break;
    case 2:
        gateway.process->kill();
        deployment.start(gateway);
        break;
    case 3:
        stopAsPlanned(gateway);
        deployment.start(gateway);
        break;
    default:
        proxy.setFault(ProxyFault::RepeatRefusals);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(random.below(300)));
}

void soak(std::uint64_t seed, std::chrono::seconds length)
{
    GatewayDeployment deployment(Gateways, 1);
    for (const auto &upstream : deployment.upstreams) {
        upstream->setCapacity(UpstreamCapacity);
    }
    for (const auto &proxy : deployment.proxies) {
        proxy->setFault(ProxyFault::RepeatRefusals);
    }
    std::atomic<bool> stopping{false};
    std::vector<std::unique_ptr<SoakCaller>> callers;
    for (unsigned i = 0; i < Callers; ++i) {
        callers.push_back(std::make_unique<SoakCaller>(deployment, i, seed, stopping));
    }
    SeededRandom random(seed);
    const TimePoint end = std::chrono::steady_clock::now() + length;
    while (std::chrono::steady_clock::now() < end) {
        injectFault(deployment, random);
    }
    stopping.store(true);
    for (const auto &caller : callers) {
        caller->join();
    }
    // A refused request must not run after its response; wait for late executions.
    std::this_thread::sleep_for(1s);
    checkResults(callers, deployment.executions, seed);
}

} // namespace

BOOST_AUTO_TEST_SUITE(refusal_soak)

// Upstreams refuse requests and send late copies of their refusals while gateways end and start.
// Guards against callers that are told that a request has not run which an upstream has run.
BOOST_AUTO_TEST_CASE(refused_requests_have_not_run)
{
    runSoak(DefaultSeeds, DefaultSeconds, soak);
}

BOOST_AUTO_TEST_SUITE_END()
