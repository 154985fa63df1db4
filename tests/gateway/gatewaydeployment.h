#ifndef BRONZESHED_TESTS_GATEWAYDEPLOYMENT_H
#define BRONZESHED_TESTS_GATEWAYDEPLOYMENT_H

#include "../processes/childprocess.h"
#include "faultyproxy.h"
#include "registeredupstream.h"

#include <memory>
#include <vector>

namespace bronzeshed {

/** A gateway under test and its own port to the store. */
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
 * Small deployment for tests: the metadata store and the upstreams run in the test process, the
 * gateways as child processes. The idempotent route /reads/ uses the service "reads", the
 * non-idempotent route /orders/ the service "orders".
 */
class GatewayDeployment
{
public:
    /**
     * Starts all parts and waits until all gateways are ready and list each other.
     * @param seedCount number of gateways that the others know from their settings
     */
    GatewayDeployment(unsigned gatewayCount, unsigned upstreamsPerService, unsigned seedCount = 0);

    /** Writes a newer configuration to the store; @p extraRoute adds the route /extra/. */
    void configure(bool extraRoute = false);
    void start(TestGateway &gateway) const;
    /** Kills all gateways and starts them again without their registrations. */
    void restartUnregistered();
    /** Sends a request to a gateway; the status is 0 without a complete response. */
    static HttpResponse call(const Endpoint &gateway, const std::string &method,
                             const std::string &path, const std::string &requestId,
                             std::chrono::milliseconds timeLeft = std::chrono::milliseconds(2000));
    /** Number of entries in a gateway's answer to a lookup. */
    static std::size_t listedEntries(const TestGateway &gateway);
    static unsigned statusOf(const Endpoint &endpoint, const std::string &path);
    /** Polls with GET requests until one is answered with @p status. @return whether one was */
    static bool answersWithin(const Endpoint &gateway, const std::string &path, unsigned status,
                              Duration limit);
    /** The same for a successful answer. */
    static bool servesWithin(const Endpoint &gateway, const std::string &path, Duration limit)
    {
        return answersWithin(gateway, path, 200, limit);
    }
    /** Writes the registration of an upstream with the address of its proxy. */
    void registerUpstream(std::size_t number, const std::string &state);

    SystemClock clock;
    ExecutionLog executions;
    MetadataStoreStandin store;
    TimerThread storeTimers;
    std::vector<std::unique_ptr<RegisteredUpstream>>
        upstreams; ///< those of reads come before those of orders
    std::vector<std::unique_ptr<FaultyProxy>> proxies; ///< one in front of each upstream
    std::vector<TestGateway> gateways;
    unsigned version = 0;

private:
    void addGateway(const std::string &id, const std::string &peers, const std::string &seeds);
    void waitUntilReady() const;
    static std::string serviceOf(const RegisteredUpstream &upstream);
};

} // namespace bronzeshed

#endif
