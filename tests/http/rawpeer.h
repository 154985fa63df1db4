#ifndef BRONZESHED_TESTS_RAWPEER_H
#define BRONZESHED_TESTS_RAWPEER_H

#include "base/settings.h"

#include <boost/asio.hpp>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace bronzeshed {

/** TCP connection that sends and receives raw bytes. */
class RawConnection
{
public:
    explicit RawConnection(boost::asio::ip::tcp::socket socket)
        : socket(std::move(socket))
    {
    }
    explicit RawConnection(const Endpoint &endpoint)
        : socket(context)
    {
        this->socket.connect({boost::asio::ip::make_address(endpoint.host), endpoint.port});
    }

    void send(const std::string &bytes)
    {
        boost::system::error_code ignored;
        boost::asio::write(this->socket, boost::asio::buffer(bytes), ignored);
    }

    /** Receives bytes up to and including @p end, or until the peer closes the connection. */
    std::string receiveUntil(const std::string &end)
    {
        boost::system::error_code error;
        const auto size = boost::asio::read_until(
            this->socket, boost::asio::dynamic_buffer(this->buffer), end, error);
        const auto taken = error ? this->buffer.size() : size;
        std::string bytes = this->buffer.substr(0, taken);
        this->buffer.erase(0, taken);
        return bytes;
    }
    std::string receiveAll()
    {
        boost::system::error_code ignored;
        boost::asio::read(this->socket, boost::asio::dynamic_buffer(this->buffer), ignored);
        return std::exchange(this->buffer, {});
    }
    void close() { this->socket.close(); }

private:
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket;
    std::string buffer;
};

/** Response of a RawServer to a request, and what happens to the connection after it. */
struct RawReply
{
    std::string bytes;
    enum After { Keep, Close, AwaitClose } after = Keep;
};

/** Server that sends given bytes after each request header. Uses one thread per connection. */
class RawServer
{
public:
    /** @param reply called with the number of the request, counted from 0 over all connections */
    explicit RawServer(std::function<RawReply(std::size_t)> reply)
        : reply(std::move(reply))
        , acceptor(context, {boost::asio::ip::address_v4::loopback(), 0})
        , thread([this] { this->accept(); })
    {
    }
    ~RawServer()
    {
        ::shutdown(this->acceptor.native_handle(), SHUT_RDWR);
        this->thread.join();
        for (std::thread &session : this->sessions) {
            session.join();
        }
    }
    RawServer(const RawServer &) = delete;
    RawServer &operator=(const RawServer &) = delete;

    Endpoint endpoint() const { return {"127.0.0.1", this->acceptor.local_endpoint().port()}; }
    /** Returns the connection number of each received request, in order of arrival. */
    std::vector<std::size_t> requests()
    {
        const std::lock_guard lock(this->mutex);
        return this->received;
    }

private:
    void accept()
    {
        for (std::size_t number = 0;; ++number) {
            boost::system::error_code error;
            boost::asio::ip::tcp::socket socket(this->context);
            this->acceptor.accept(socket, error);
            if (error) {
                return;
            }
            this->sessions.emplace_back([this, number, socket = std::move(socket)]() mutable {
                RawConnection connection(std::move(socket));
                this->serve(connection, number);
            });
        }
    }

    void serve(RawConnection &connection, std::size_t number)
    {
        while (connection.receiveUntil("\r\n\r\n").ends_with("\r\n\r\n")) {
            std::unique_lock lock(this->mutex);
            const std::size_t request = this->received.size();
            this->received.push_back(number);
            lock.unlock();
            const RawReply next = this->reply(request);
            connection.send(next.bytes);
            if (next.after == RawReply::AwaitClose) {
                connection.receiveAll();
            }
            if (next.after != RawReply::Keep) {
                return;
            }
        }
    }

    std::function<RawReply(std::size_t)> reply;
    std::mutex mutex;
    std::vector<std::size_t> received;
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor;
    std::vector<std::thread> sessions;
    std::thread thread;
};

} // namespace bronzeshed

#endif
