#ifndef BRONZESHED_HTTP_HTTPSERVER_H
#define BRONZESHED_HTTP_HTTPSERVER_H

#include "base/clock.h"
#include "base/settings.h"
#include "http/httpmessage.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace bronzeshed {

/** Bounds on what a client may make the server hold. */
struct HttpLimits
{
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 1024 * 1024;
    std::size_t connections = 4096;
    std::chrono::milliseconds headerTimeout{5000};
    std::chrono::milliseconds requestTimeout{15000};
    std::chrono::milliseconds idleTimeout{60000};
};

/** One request that waits for its response. Thread-safe. */
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;
    /** Sends the response. Calls after the first, or after the client left, are ignored. */
    virtual void respond(HttpResponse response) = 0;
    /** Calls @p callback on the server's thread if the client closes before the response. */
    virtual void onClientGone(std::function<void()> callback) = 0;
    /** Closes the connection without a response, as a failing server does. */
    virtual void drop() { }
    /** Number of the client's connection; numbers rise in the order of acceptance. */
    virtual std::uint64_t connectionNumber() const { return 0; }
};

/** Receives the requests of a server, on the server's thread. */
class HttpHandler
{
public:
    virtual ~HttpHandler() = default;
    virtual void handleRequest(HttpRequest request, std::shared_ptr<HttpExchange> exchange) = 0;
    /** Completes the response to a request that broke a limit or the protocol. */
    virtual void decorateError(HttpResponse &response);
};

/** HTTP/1.1 server with keep-alive on a thread of its own. */
class HttpServer
{
public:
    /** @throws Error if the endpoint cannot be bound */
    HttpServer(const Endpoint &endpoint, const HttpLimits &limits, HttpHandler &handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** The bound endpoint, with the port chosen by the system if 0 was asked for. */
    Endpoint localEndpoint() const;
    /** Takes over new limits for the requests that follow. Thread-safe. */
    void setLimits(const HttpLimits &limits);
    /** From now on every response closes its connection. Thread-safe. */
    void startDraining();
    /** Requests that wait for their response or are being written. Thread-safe. */
    std::size_t pendingRequests() const;
    /** Open client connections. Thread-safe. */
    std::size_t openConnections() const;
    /** Closes all connections and ends the thread. */
    void stop();

private:
    class Implementation;
    std::shared_ptr<Implementation> implementation;
};

} // namespace bronzeshed

#endif
