#ifndef BRONZESHED_TESTS_GATEWAYWORLD_H
#define BRONZESHED_TESTS_GATEWAYWORLD_H

#include "../processes/childprocess.h"
#include "faultyproxy.h"
#include "registeredupstream.h"

#include <memory>
#include <vector>

namespace bronzeshed {

/** A gateway under test with its way to the store. */
struct TestGateway
{
    std::string id;
    std::unique_ptr<FaultyStorePort> storePort;
    std::unique_ptr<HttpServer> store;
    std::vector<std::string> flags;
    std::unique_ptr<ChildProcess> process;
    Endpoint callers;
    Endpoint lookups;
    Endpoint readiness;
};

/**
 * A small deployment: a metadata store and upstreams in this process, gateways as real processes.
 * Service "reads" is used by the idempotent route /reads/, service "orders" by /orders/.
 */
class GatewayWorld
{
public:
    /** Starts everything and waits until all gateways are ready and know each other. */
    GatewayWorld(unsigned gatewayCount, unsigned upstreamsPerService);

    /** Writes the next version of the configuration; @p extraRoute adds the route /extra/. */
    void configure(bool extraRoute = false);
    void start(TestGateway &gateway) const;
    /** Sends a request to a gateway; status 0 if there is no whole response. */
    static HttpResponse call(const Endpoint &gateway, const std::string &method,
                             const std::string &path, const std::string &requestId,
                             std::chrono::milliseconds timeLeft = std::chrono::milliseconds(2000));
    static unsigned statusOf(const Endpoint &endpoint, const std::string &path);
    /** Writes the registration of an upstream; its address is that of its proxy. */
    void registerUpstream(std::size_t number, const std::string &state);

    SystemClock clock;
    RunLog runs;
    MetadataStoreStandin store;
    TimerThread storeTimers;
    std::vector<std::unique_ptr<RegisteredUpstream>> upstreams; ///< of reads, then of orders
    std::vector<std::unique_ptr<FaultyProxy>> proxies; ///< one before each upstream
    std::vector<TestGateway> gateways;
    unsigned version = 0;

private:
    void addGateway(const std::string &id);
    static std::string serviceOf(const RegisteredUpstream &upstream);
};

} // namespace bronzeshed

#endif
