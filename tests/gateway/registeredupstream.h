#ifndef BRONZESHED_TESTS_REGISTEREDUPSTREAM_H
#define BRONZESHED_TESTS_REGISTEREDUPSTREAM_H

#include "standins/metadatastorestandin.h"
#include "standins/timerthread.h"

#include <atomic>
#include <climits>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace bronzeshed {

/** Counts the executions of each request across all upstreams. Thread-safe. */
class ExecutionLog
{
public:
    void add(const std::string &requestId, const std::string &upstream);
    unsigned count(const std::string &requestId);
    unsigned countAt(const std::string &upstream);

private:
    std::mutex mutex;
    std::map<std::string, unsigned> byRequest;
    std::map<std::string, unsigned> byUpstream;
};

enum class UpstreamFault {
    None,
    Shed, ///< refuses requests with X-Bronzeshed-Not-Executed
    LoseResponse, ///< runs requests and closes the connection without a response
    Error, ///< runs requests and responds with status 500
};

/** Stand-in for an upstream of the users' platform. */
class RegisteredUpstream : public TimedHandler
{
public:
    RegisteredUpstream(std::string id, const Clock &clock, ExecutionLog &executions);

    void handleRequest(HttpRequest request, std::shared_ptr<HttpExchange> exchange) override;

    const std::string &id() const { return this->name; }
    Endpoint endpoint() const { return this->server.localEndpoint(); }
    void setFault(UpstreamFault newFault) { this->fault.store(newFault); }
    /** Sets how long the execution of a request takes. */
    void setServiceTime(std::chrono::milliseconds time) { this->serviceTime.store(time); }
    /** Sets how many requests may run at once; others are refused. */
    void setCapacity(unsigned requests) { this->capacity.store(requests); }
    /** Returns the value of an upstream's registration in the store. */
    static std::string registration(const Endpoint &address, const std::string &service,
                                    const std::string &zone, const std::string &state);
    /** Returns the body of the response to a request. */
    static std::string responseBody(const std::string &requestId);

private:
    HttpResponse makeResponse(const std::string &requestId, unsigned status) const;
    static HttpResponse makeRefusal(const std::string &requestId);

    std::string name;
    ExecutionLog &executions;
    std::atomic<UpstreamFault> fault{UpstreamFault::None};
    std::atomic<std::chrono::milliseconds> serviceTime{std::chrono::milliseconds(5)};
    std::atomic<unsigned> capacity{UINT_MAX};
    std::atomic<unsigned> running{0};
    HttpServer server;
    TimerThread thread;
};

} // namespace bronzeshed

#endif
