#ifndef BRONZESHED_TESTS_SOAKRUN_H
#define BRONZESHED_TESTS_SOAKRUN_H

#include "gatewaydeployment.h"

#include "base/random.h"
#include "http/connectionpool.h"

#include <atomic>
#include <functional>

namespace bronzeshed {

/** Result of one request as seen by the caller. */
struct CallResult
{
    std::string id;
    bool idempotent = true;
    unsigned status = 0;
    std::string reason; ///< of a request that was not answered with success
    bool intact = true; ///< a successful response was complete and belonged to this request
};

/**
 * Sends the requests of one caller on a separate thread until @p stopping is set. Like the callers
 * of the platform, it keeps its connections and uses them until the gateway closes them.
 */
class SoakCaller
{
public:
    SoakCaller(GatewayDeployment &deployment, unsigned number, std::uint64_t seed,
               std::atomic<bool> &stopping);
    /** Ends the thread also if the soak is left by an exception, whose message would be lost. */
    ~SoakCaller();
    SoakCaller(const SoakCaller &) = delete;
    SoakCaller &operator=(const SoakCaller &) = delete;

    void join();

    std::vector<CallResult> results;

private:
    void sendRequest(const GatewayDeployment &deployment, Random &random, const std::string &id);
    HttpResponse exchange(const Endpoint &gateway, const HttpRequest &request);

    ConnectionPool connections{ConnectionPoolLimits{}};
    AttemptId lastExchange;

    std::thread thread;
    std::atomic<bool> &stopping;
};

/** Sends a planned stop and checks that the process ends in time with exit code 0. */
void stopAsPlanned(TestGateway &gateway);

/** Checks what callers were told against what upstreams ran, and prints the share answered. */
void checkResults(const std::vector<std::unique_ptr<SoakCaller>> &callers, ExecutionLog &executions,
                  std::uint64_t seed);

/**
 * Calls @p soak for each seed, with its length in time. BRONZESHED_SOAK_SEEDS=1,2,3 and
 * BRONZESHED_SOAK_SECONDS=20 replace the seeds and the length of the short run.
 */
void runSoak(const std::string &defaultSeeds, unsigned defaultSeconds,
             const std::function<void(std::uint64_t, std::chrono::seconds)> &soak);

} // namespace bronzeshed

#endif
