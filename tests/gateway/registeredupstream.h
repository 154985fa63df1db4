#ifndef BRONZESHED_TESTS_REGISTEREDUPSTREAM_H
#define BRONZESHED_TESTS_REGISTEREDUPSTREAM_H

#include "standins/metadatastorestandin.h"
#include "standins/timerthread.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace bronzeshed {

/** Which requests ran how often, at all upstreams. Thread-safe. */
class RunLog
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
    Shed, ///< refuses requests and says so
    LoseAnswer, ///< runs requests and closes the connection
    Error, ///< runs requests and answers 500
};

/** Upstream stand-in of the users' platform. */
class RegisteredUpstream : public TimedHandler
{
public:
    RegisteredUpstream(std::string id, const Clock &clock, RunLog &runs);

    void handleRequest(HttpRequest request, std::shared_ptr<HttpExchange> exchange) override;

    const std::string &id() const { return this->name; }
    Endpoint endpoint() const { return this->server.localEndpoint(); }
    void setFault(UpstreamFault newFault) { this->fault.store(newFault); }
    void setWork(std::chrono::milliseconds time) { this->work.store(time); }
    /** Its registration in the store. */
    static std::string registration(const Endpoint &address, const std::string &service,
                                    const std::string &zone, const std::string &state);
    /** The body of its answer to a request. */
    static std::string bodyOf(const std::string &requestId);

private:
    HttpResponse answer(const std::string &requestId, unsigned status) const;

    std::string name;
    RunLog &runs;
    std::atomic<UpstreamFault> fault{UpstreamFault::None};
    std::atomic<std::chrono::milliseconds> work{std::chrono::milliseconds(5)};
    HttpServer server;
    TimerThread thread;
};

} // namespace bronzeshed

#endif
