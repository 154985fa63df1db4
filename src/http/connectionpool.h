#ifndef BRONZESHED_HTTP_CONNECTIONPOOL_H
#define BRONZESHED_HTTP_CONNECTIONPOOL_H

#include "base/clock.h"
#include "base/settings.h"
#include "base/strongnumber.h"
#include "http/httpmessage.h"

#include <functional>
#include <memory>
#include <string>

namespace bronzeshed {

/** How far an exchange with a server got. */
enum class ExchangeStatus {
    Answered, ///< a whole response arrived
    NotSent, ///< no byte of the request was written
    Failed, ///< the connection failed after a byte may have been written
    TimedOut, ///< no whole response in time, after a byte may have been written
    Cancelled, ///< cancelled by this side after a byte may have been written
};

struct ExchangeResult
{
    ExchangeStatus status = ExchangeStatus::NotSent;
    HttpResponse response; ///< valid if Answered
};

/** Which connections an exchange may use. */
enum class ConnectionUse {
    AnyIdle, ///< an idle connection if there is one
    RecentlyUsed, ///< an idle connection only if it was used within the last second
};

/** Which responses answer a request. */
struct ResponseRules
{
    /** A response with another value of this header is skipped: it answers an earlier request. */
    std::string echoHeader;
    std::string echoValue;
    /** Takes a response without a length as complete when the server closes in good order. */
    bool acceptUntilClose = false;
};

/** Bounds of a connection pool. */
struct ConnectionPoolLimits
{
    std::size_t idlePerEndpoint = 8;
    std::chrono::milliseconds connectTimeout{250};
    std::chrono::milliseconds idleTimeout{30000};
    /** Older idle connections may have been dropped silently by something in between. */
    std::chrono::milliseconds recentUse{1000};
    std::size_t bodyBytes = 1024 * 1024;
    /** Margin before the time at which the server closes an idle connection, if it states one. */
    std::chrono::milliseconds keepAliveMargin{1000};
};

/**
 * Connections to servers, with one exchange at a time on each. A connection returns to the pool
 * only after a whole response. Runs on a thread of its own; callbacks run on that thread.
 */
class ConnectionPool
{
public:
    using Callback = std::function<void(ExchangeResult result)>;

    explicit ConnectionPool(const ConnectionPoolLimits &limits);
    ~ConnectionPool();
    ConnectionPool(const ConnectionPool &) = delete;
    ConnectionPool &operator=(const ConnectionPool &) = delete;

    /** Starts an exchange. Thread-safe. The callback is called exactly once. */
    void send(AttemptId id, const Endpoint &endpoint, const HttpRequest &request, ConnectionUse use,
              Duration timeout, Callback callback, ResponseRules rules = {});

    /** Closes the connection of an exchange that is in progress. Thread-safe. */
    void cancel(AttemptId id);

    /** Closes the idle connections to an endpoint. Thread-safe. */
    void dropIdle(const Endpoint &endpoint);

    /** Open connections, idle or in use. Thread-safe. */
    std::size_t openConnections() const;

    /** Ends all exchanges and the thread. */
    void stop();

private:
    class Implementation;
    std::shared_ptr<Implementation> implementation;
};

} // namespace bronzeshed

#endif
