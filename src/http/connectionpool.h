#ifndef BRONZESHED_HTTP_CONNECTIONPOOL_H
#define BRONZESHED_HTTP_CONNECTIONPOOL_H

#include "base/clock.h"
#include "base/connectiontrace.h"
#include "base/settings.h"
#include "base/strongnumber.h"
#include "http/httpmessage.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace bronzeshed {

/** Result of an exchange with a server. */
enum class ExchangeStatus {
    Answered, ///< a complete response arrived
    NotSent, ///< no byte of the request was written
    Failed, ///< the connection failed after a byte may have been written
    TimedOut, ///< no complete response before the timeout, after a byte may have been written
    Cancelled, ///< cancelled locally after a byte may have been written
};

struct ExchangeResult
{
    ExchangeStatus status = ExchangeStatus::NotSent;
    HttpResponse response; ///< valid if the status is Answered
    ConnectionTrace connection;
};

/** Which idle connections an exchange may reuse. */
enum class ConnectionUse {
    AnyIdle, ///< any idle connection
    RecentlyUsed, ///< only an idle connection used within ConnectionPoolLimits::recentUse
};

/** Rules that decide which responses are accepted for a request. */
struct ResponseRules
{
    /**
     * Header in which the server echoes an id of the request. A response with another value than
     * echoValue answers an earlier request and is skipped. If empty, responses are not checked.
     */
    std::string echoHeader;
    /** Id of this request. If empty, the request has no id, so a response with any id is skipped.
     */
    std::string echoValue;
    /** Accepts a response without a length if the server closes the connection without an error. */
    bool acceptCloseDelimited = false;
    std::optional<std::size_t> bodyBytes; ///< used instead of the pool's limit, if set
};

/** Limits of a connection pool. */
struct ConnectionPoolLimits
{
    std::size_t idlePerEndpoint = 8;
    std::chrono::milliseconds connectTimeout{250};
    std::chrono::milliseconds idleTimeout{30000};
    /** A middlebox may have silently dropped connections that were idle for longer than this. */
    std::chrono::milliseconds recentUse{1000};
    std::size_t bodyBytes = 1024 * 1024; ///< limit for the body of one response
    /** Limit for the incomplete bodies of all responses; the largest one fails beyond it. */
    std::size_t totalBodyBytes = 16UL * 1024 * 1024;
    /**
     * An idle connection is no longer used this long before the time that the server announced in
     * its Keep-Alive header for closing it.
     */
    std::chrono::milliseconds keepAliveMargin{1000};
};

/**
 * Pool of client connections to servers, each with one exchange at a time. A connection returns to
 * the pool only after a complete response. The pool has its own thread, which runs the callbacks.
 */
class ConnectionPool
{
public:
    using Callback = std::function<void(ExchangeResult result)>;

    explicit ConnectionPool(const ConnectionPoolLimits &limits);
    ~ConnectionPool();
    ConnectionPool(const ConnectionPool &) = delete;
    ConnectionPool &operator=(const ConnectionPool &) = delete;

    /** Starts an exchange and calls the callback exactly once with its result. Thread-safe. */
    void send(AttemptId id, const Endpoint &endpoint, const HttpRequest &request, ConnectionUse use,
              Duration timeout, Callback callback, ResponseRules rules = {});

    /** Closes the connection of an exchange that is in progress. Thread-safe. */
    void cancel(AttemptId id);

    /** Closes the idle connections to an endpoint. Thread-safe. */
    void dropIdle(const Endpoint &endpoint);

    /** Number of open connections, idle or in use. Thread-safe. */
    std::size_t openConnections() const;

    /** Cancels all exchanges and joins the thread. */
    void stop();

private:
    class Implementation;
    std::shared_ptr<Implementation> implementation;
};

} // namespace bronzeshed

#endif
