#ifndef BRONZESHED_HTTP_POOLEDCONNECTION_H
#define BRONZESHED_HTTP_POOLEDCONNECTION_H

#include "base/clock.h"
#include "http/lazytimer.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <cerrno>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <sys/socket.h>
#include <vector>

namespace bronzeshed {

/**
 * TCP connection of a pool with its read buffer. Include this header in adapter sources only,
 * because it pulls in Beast.
 */
class PooledConnection
{
public:
    PooledConnection(boost::asio::io_context &context, std::uint64_t number,
                     std::atomic<std::size_t> &count)
        : number(number)
        , stream(context)
        , timer(context.get_executor(), [this] { this->timeOut(); })
        , count(count)
    {
        ++this->count;
    }
    ~PooledConnection() { --this->count; }
    PooledConnection(const PooledConnection &) = delete;
    PooledConnection &operator=(const PooledConnection &) = delete;

    /** Whether the server has neither closed the connection nor sent unexpected bytes. */
    bool isOpenAndIdle()
    {
        char byte = 0;
        const auto size
            = ::recv(this->stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }

    /** Closes the connection at @p deadline. TimePoint::max() means never. */
    void setDeadline(TimePoint deadline) { this->timer.setDeadline(deadline); }
    bool isTimedOut() const { return this->timedOut; }

    /** Records that a response other than a success answered the request with @p id. */
    void recordUnsuccessful(const std::string &id)
    {
        this->unsuccessfulIds.push_back(std::hash<std::string>{}(id));
    }
    /**
     * Whether the request with @p id may be sent on this connection. After an unsuccessful response
     * to the same request, a late copy of it could not be told from the next response.
     */
    bool accepts(const std::string &id) const
    {
        return std::find(this->unsuccessfulIds.begin(), this->unsuccessfulIds.end(),
                         std::hash<std::string>{}(id))
            == this->unsuccessfulIds.end();
    }
    /** Whether no further id can be recorded, so that the connection must not be used again. */
    bool recordsFull() const { return this->unsuccessfulIds.size() >= MaxUnsuccessfulIds; }

    const std::uint64_t number; ///< unique within the pool
    unsigned uses = 0; ///< exchanges started on this connection
    boost::beast::tcp_stream stream;
    /** Limited, because a faulty server may send a header or a chunk extension without end. */
    boost::beast::flat_buffer buffer{MaxBufferedBytes};
    TimePoint lastUse;
    Duration serverIdleTimeout = Duration::max(); ///< from the Keep-Alive header, less the margin

private:
    static constexpr std::size_t MaxBufferedBytes = 128UL * 1024;
    static constexpr std::size_t MaxUnsuccessfulIds = 32;

    void timeOut()
    {
        this->timedOut = true;
        this->stream.close();
    }

    LazyTimer timer;
    std::vector<std::size_t> unsuccessfulIds; ///< hashes; an equal one costs a connection only
    bool timedOut = false;
    std::atomic<std::size_t> &count;
};

} // namespace bronzeshed

#endif
