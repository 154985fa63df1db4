#ifndef BRONZESHED_STANDINS_UPSTREAMHANDLER_H
#define BRONZESHED_STANDINS_UPSTREAMHANDLER_H

#include "standins/laggedvalue.h"
#include "standins/timedhandler.h"
#include "standins/upstreambehaviour.h"

#include <deque>
#include <map>
#include <set>

namespace bronzeshed {

/**
 * Server with a fixed number of slots and exponentially distributed work. It counts the executions
 * of each request identity. Besides work it serves
 * - GET /executions: lines "identity count";
 * - GET /health and GET /load: state and load, older than now by the report lag;
 * - PUT /control/state?duration-ms=N: the body names a mode, or is "silent": connections that are
 *   open now get no more answers.
 */
class UpstreamHandler : public TimedHandler
{
public:
    UpstreamHandler(const UpstreamOptions &options, const Clock &clock, std::uint64_t seed);

    void handleRequest(HttpRequest request, std::shared_ptr<HttpExchange> exchange) override;

private:
    struct Work
    {
        HttpRequest request;
        std::shared_ptr<HttpExchange> exchange;
        bool running = false;
        Duration spent = Duration::zero();
        TimerId end; ///< of the work while it runs
        std::optional<TimerId> deadline;
    };
    using WorkNumber = std::uint64_t;

    /** @return whether the request was one to the stand-in itself */
    bool handleControl(const HttpRequest &request, HttpExchange &exchange);
    HttpResponse changeState(const HttpRequest &request, const HttpExchange &exchange);
    /** Latency of the request that arrives on a connection now. */
    Duration takeLatency(std::uint64_t connection);
    void receive(HttpRequest request, std::shared_ptr<HttpExchange> exchange);
    bool refuse(const std::shared_ptr<HttpExchange> &exchange);
    void startWaiting();
    void start(WorkNumber number);
    void finish(WorkNumber number);
    void expire(WorkNumber number);
    void cancel(WorkNumber number);
    void remove(WorkNumber number);
    void send(const std::shared_ptr<HttpExchange> &exchange, HttpResponse response);
    void deliver(const std::shared_ptr<HttpExchange> &exchange, HttpResponse response);
    void recordLoad();

    UpstreamOptions options;
    SeededRandom random;
    UpstreamBehaviour behaviour;
    std::map<WorkNumber, Work> works;
    std::deque<WorkNumber> queue;
    WorkNumber lastWork = 0;
    unsigned running = 0;
    std::uint64_t lastSilentConnection = 0;
    std::set<std::uint64_t> usedConnections; ///< only while opening one has a latency
    LaggedValue<std::size_t> load;
    LaggedValue<std::string> health;
    std::map<std::string, unsigned> executions;
};

} // namespace bronzeshed

#endif
