#ifndef BRONZESHED_HTTP_POOLEDCONNECTION_H
#define BRONZESHED_HTTP_POOLEDCONNECTION_H

#include "base/clock.h"
#include "http/lazytimer.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <cerrno>
#include <cstddef>
#include <sys/socket.h>

namespace bronzeshed {

/** One TCP connection with its read buffer; for adapter sources only, since it pulls in Beast. */
class PooledConnection
{
public:
    PooledConnection(boost::asio::io_context &context, std::atomic<std::size_t> &count)
        : stream(context)
        , timer(context.get_executor(), [this] { this->timeOut(); })
        , count(count)
    {
        ++this->count;
    }
    ~PooledConnection() { --this->count; }
    PooledConnection(const PooledConnection &) = delete;
    PooledConnection &operator=(const PooledConnection &) = delete;

    /** Whether the server has neither closed nor sent anything since the last response. */
    bool isQuiet()
    {
        char byte = 0;
        const auto size
            = ::recv(this->stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }

    /** Closes the connection at @p limit. TimePoint::max() means never. */
    void setLimit(TimePoint limit) { this->timer.setLimit(limit); }
    bool isTimedOut() const { return this->timedOut; }

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    TimePoint lastUse;
    Duration idleLimit = Duration::max(); ///< stated by the server

private:
    void timeOut()
    {
        this->timedOut = true;
        this->stream.close();
    }

    LazyTimer timer;
    bool timedOut = false;
    std::atomic<std::size_t> &count;
};

} // namespace bronzeshed

#endif
