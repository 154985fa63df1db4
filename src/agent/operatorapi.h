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
 * HTTP API of an agent for operators.
 * - GET /v1/declaration, GET /v1/status[?calls=1], GET /v1/history[?page=N]
 * - PUT /v1/declaration with headers Base-Version and Operator
 * - POST /v1/leave?upstream=ID and /v1/return?upstream=ID with header Operator
 *
 * A change may have the header Write-Id, under which the audit trail records it. Without a token
 * only reads are allowed, and the server must listen on a loopback address.
 */
class OperatorApi : public HttpHandler
{
public:
    /** @param token bearer token that each request must have; empty to require none */
    OperatorApi(ConfigKeeperPort &agent, KeyValueStore &store, ConfigKeeper &keeper,
                FleetCallsSource &calls, std::string token);

    void handleRequest(HttpRequest request, std::shared_ptr<HttpExchange> exchange) override;

    /** Stops the worker threads. Call after the server has stopped. */
    void stop();

private:
    using Exchange = std::shared_ptr<HttpExchange>;

    bool refuseUnauthorized(const HttpRequest &request, HttpExchange &exchange) const;
    void handleRead(const HttpRequest &request, const Exchange &exchange);
    void handleStatus(const HttpRequest &request, const Exchange &exchange);
    void handleHistory(const HttpRequest &request, const Exchange &exchange);
    void handleChange(HttpRequest request, const Exchange &exchange);
    ChangeResult applyDeclaration(const HttpRequest &request);
    void handleDrainFlag(const HttpRequest &request, const Exchange &exchange);
    HttpResponse readPage(std::uint64_t page);
    static void runBlocking(OperatorWorker &worker, const Exchange &exchange,
                            std::function<HttpResponse()> work);
    /** @return false if the queue is full; no response has been sent then */
    static bool tryRunBlocking(OperatorWorker &worker, const Exchange &exchange,
                               std::function<HttpResponse()> work);
    void runMaintenance();

    ConfigKeeperPort &agent;
    KeyValueStore &store;
    ConfigKeeper &keeper;
    FleetCallsSource &calls;
    std::string token;
    unsigned maintenanceRuns = 0;
    // Declared last, so that the workers stop before the members that their jobs use are destroyed.
    OperatorWorker worker; ///< runs jobs that wait for the store
    OperatorWorker callsWorker; ///< runs status reads, which must not wait for an unavailable store
};

/** Compares two strings in a time that depends only on the length of @p given. */
bool equalsInConstantTime(std::string_view expected, std::string_view given);

/** Returns whether @p endpoint accepts connections from this instance only. */
bool isLoopback(const Endpoint &endpoint);

} // namespace bronzeshed

#endif
