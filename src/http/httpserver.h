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

/** Limits of the resources that clients can occupy in the server. */
struct HttpLimits
{
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 1024 * 1024;
    std::size_t connections = 4096;
    std::chrono::milliseconds headerTimeout{5000};
    std::chrono::milliseconds requestTimeout{15000};
    std::chrono::milliseconds idleTimeout{60000};
};

/** A request that waits for its response. Thread-safe. */
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;
    /** Sends the response. Later calls, and calls after the client disconnected, are ignored. */
    virtual void respond(HttpResponse response) = 0;
    /** Calls @p callback on the server's thread if the client disconnects before the response. */
    virtual void onClientDisconnected(std::function<void()> callback) = 0;
    /** Closes the connection without a response, like a server that fails. */
    virtual void drop() { }
    /** Number of the client connection. Numbers increase in the order of acceptance. */
    virtual std::uint64_t connectionNumber() const { return 0; }
};

/** Handles the requests of a server. Called on the server's thread. */
class HttpHandler
{
public:
    virtual ~HttpHandler() = default;
    virtual void handleRequest(HttpRequest request, std::shared_ptr<HttpExchange> exchange) = 0;
    /** Adds headers to the error response for a request that exceeds a limit or is malformed. */
    virtual void decorateError(HttpResponse &response);
};

/** HTTP/1.1 server with keep-alive that runs on its own thread. */
class HttpServer
{
public:
    /** @throws Error if the endpoint cannot be bound */
    HttpServer(const Endpoint &endpoint, const HttpLimits &limits, HttpHandler &handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** Returns the bound endpoint, with the port that the system chose if port 0 was requested. */
    Endpoint localEndpoint() const;
    /** Sets the limits for all following requests. Thread-safe. */
    void setLimits(const HttpLimits &limits);
    /** Makes every further response close its connection. Thread-safe. */
    void startDraining();
    /** Number of requests being received, handled or answered. Thread-safe. */
    std::size_t pendingRequests() const;
    /** Number of open client connections. Thread-safe. */
    std::size_t openConnections() const;
    /**
     * Stops accepting connections and requests, and waits until all requests that were read are
     * answered and their clients have closed, at most for @p limit. Call startDraining() before.
     */
    void finish(std::chrono::milliseconds limit);
    /** Closes all connections and joins the thread. */
    void stop();

private:
    class Implementation;
    std::shared_ptr<Implementation> implementation;
};

} // namespace bronzeshed

#endif
