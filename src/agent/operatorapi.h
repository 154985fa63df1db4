#ifndef BRONZESHED_AGENT_OPERATORAPI_H
#define BRONZESHED_AGENT_OPERATORAPI_H

#include "agent/configkeeper.h"
#include "agent/fleetcalls.h"
#include "agent/operatorworker.h"
#include "http/httpserver.h"

#include <memory>
#include <string>
#include <string_view>

namespace bronzeshed {

/**
 * The operators' HTTP interface of an agent.
 * - GET /v1/declaration, GET /v1/status[?calls=1], GET /v1/history[?page=N]
 * - PUT /v1/declaration with headers Base-Version and Operator
 * - POST /v1/leave?upstream=ID and /v1/return?upstream=ID with header Operator
 *
 * Changes may carry a header Write-Id, under which the audit trail records them. Without a token
 * only reads are allowed; the server must then listen on a loopback address only.
 */
class OperatorApi : public HttpHandler
{
public:
    /** @param token the bearer token that each request must carry; empty for none */
    OperatorApi(ConfigKeeperPort &agent, KeyValueStore &store, ConfigKeeper &keeper,
                FleetCallsSource &calls, std::string token);

    void handleRequest(HttpRequest request, std::shared_ptr<HttpExchange> exchange) override;

    /** Ends the worker. Call after the server has stopped. */
    void stop();

private:
    using Exchange = std::shared_ptr<HttpExchange>;

    bool refuseUnauthorized(const HttpRequest &request, HttpExchange &exchange) const;
    void handleRead(const HttpRequest &request, const Exchange &exchange);
    void handleStatus(const HttpRequest &request, const Exchange &exchange);
    void handleHistory(const HttpRequest &request, const Exchange &exchange);
    void handleChange(HttpRequest request, const Exchange &exchange);
    ChangeResult applyDeclaration(const HttpRequest &request);
    void markUpstream(const HttpRequest &request, const Exchange &exchange);
    HttpResponse readPage(std::uint64_t page);
    static void runBlocking(OperatorWorker &worker, const Exchange &exchange,
                            std::function<HttpResponse()> work);
    /** @return false if too many jobs wait; the exchange then has no response */
    static bool tryRunBlocking(OperatorWorker &worker, const Exchange &exchange,
                               std::function<HttpResponse()> work);
    void maintain();

    ConfigKeeperPort &agent;
    KeyValueStore &store;
    ConfigKeeper &keeper;
    FleetCallsSource &calls;
    std::string token;
    unsigned maintenanceRuns = 0;
    // Declared last, so that they end before what their jobs use.
    OperatorWorker worker; ///< for jobs that wait for the store
    OperatorWorker callsWorker; ///< for status, which must not wait for a store that is down
};

/** Compares two texts in a time that depends only on the length of @p given. */
bool equalsInConstantTime(std::string_view expected, std::string_view given);

/** Whether an address of this form accepts connections of this machine only. */
bool isLoopback(const Endpoint &endpoint);

} // namespace bronzeshed

#endif
