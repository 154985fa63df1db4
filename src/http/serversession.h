#ifndef BRONZESHED_HTTP_SERVERSESSION_H
#define BRONZESHED_HTTP_SERVERSESSION_H

#include "base/clock.h"
#include "http/lazytimer.h"
#include "http/serverstate.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace bronzeshed {

/** Client connection that handles one request at a time. For adapter sources only. */
class ServerSession : public std::enable_shared_from_this<ServerSession>
{
public:
    ServerSession(boost::asio::ip::tcp::socket socket, std::shared_ptr<ServerState> server)
        : server(std::move(server))
        , stream(std::move(socket))
        , number(++this->server->lastConnection)
        , timer(this->stream.get_executor(), [this] { this->onDeadlineExpired(); })
    {
        this->server->sessions.insert(this);
        this->server->connections.store(this->server->sessions.size());
    }

    ~ServerSession()
    {
        this->setPending(false);
        this->server->sessions.erase(this);
        this->server->connections.store(this->server->sessions.size());
    }

    ServerSession(const ServerSession &) = delete;
    ServerSession &operator=(const ServerSession &) = delete;

    void readNext();
    void close();
    /** Closes the connection unless a request is being read, handled or answered on it. */
    void closeIfIdle();
    void respond(std::uint64_t serial, const HttpResponse &response);
    void setDisconnectCallback(std::uint64_t serial, std::function<void()> callback);
    void drop(std::uint64_t serial);

private:
    class Exchange;

    void readSome();
    void finishReadSome(boost::beast::error_code error, std::size_t size);
    void readHeader();
    /** @param error error in the part of the body that was received with the header */
    void readBody(boost::beast::error_code error);
    void setReadDeadline(TimePoint deadline);
    void onDeadlineExpired();
    /**
     * Ends the read and rejects the request if the read failed or timed out.
     * @return whether the read succeeded
     */
    bool finishRead(boost::beast::error_code error, const std::string &remedy);
    void dispatch();
    void rejectRequest(unsigned status, const std::string &problem, const std::string &remedy);
    void write(const HttpResponse &response);
    void finishWrite(boost::beast::error_code error, bool keepAlive);
    void discardUntilClosed();
    void watchClient();
    void notifyDisconnect();
    void setPending(bool value);

    std::shared_ptr<ServerState> server;
    boost::beast::tcp_stream stream;
    std::uint64_t number;
    LazyTimer timer; ///< limits the idle time, the request, the response or the lingering close
    boost::beast::flat_buffer buffer;
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser;
    std::string response; ///< serialized response
    std::function<void()> disconnectCallback;
    std::uint64_t serial = 0;
    bool clientWantsKeepAlive = true;
    bool headOnly = false;
    bool pending = false; ///< from the first byte of a request to the last byte of its response
    bool inFlight = false; ///< the handler has not yet responded to the request
    bool reading = false; ///< a header or body is being read
    bool readTimedOut = false;
    TimePoint requestStart;
    std::shared_ptr<ServerSession> selfReference; ///< set while the handler has the request
    bool readPending = false; ///< waits for the next request or for the client to disconnect
    bool clientClosed = false;
    bool closed = false; ///< by this side
    bool discarding = false; ///< the last response was written; received bytes are ignored
};

} // namespace bronzeshed

#endif
