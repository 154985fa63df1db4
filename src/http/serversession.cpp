#include "http/serversession.h"

#include "http/beastmessage.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <cerrno>
#include <string_view>
#include <sys/socket.h>
#include <utility>

namespace bronzeshed {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t ReadChunkBytes = 4096;
constexpr std::chrono::milliseconds LingerTimeout{2000};

unsigned statusForParseError(beast::error_code error)
{
    if (error == http::error::header_limit) {
        return 431;
    }
    if (error == http::error::body_limit) {
        return 413;
    }
    return 400;
}

/** Name of a header that may stand once only but is repeated, or nothing. */
std::string repeatedHeader(const HttpHeaders &headers)
{
    for (const auto &[name, value] : headers.fields()) {
        const bool unique = equalsIgnoringCase(name, "Host")
            || equalsIgnoringCase(name, "Content-Length")
            || equalsIgnoringCase(std::string_view(name).substr(0, 11), "Bronzeshed-");
        if (unique && headers.count(name) > 1) {
            return name;
        }
    }
    return {};
}

/**
 * Whether the end of the body is certain. The parser takes other codings than chunked for a request
 * without body, and the body's bytes for the next request.
 */
bool hasKnownFraming(const HttpHeaders &headers)
{
    const auto coding = headers.find("Transfer-Encoding");
    if (!coding) {
        return true;
    }
    return headers.count("Transfer-Encoding") == 1 && equalsIgnoringCase(*coding, "chunked");
}

} // namespace

/** Hands a response from any thread to the session's thread. */
class ServerSession::Exchange : public HttpExchange
{
public:
    Exchange(std::weak_ptr<ServerSession> session, std::shared_ptr<ServerState> server,
             std::uint64_t serial, std::uint64_t connection)
        : session(std::move(session))
        , server(std::move(server))
        , serial(serial)
        , connection(connection)
    {
    }

    std::uint64_t connectionNumber() const override { return this->connection; }

    void drop() override
    {
        asio::post(this->server->context, [session = this->session, serial = this->serial] {
            if (const auto alive = session.lock()) {
                alive->drop(serial);
            }
        });
    }

    void respond(HttpResponse response) override
    {
        asio::post(this->server->context,
                   [session = this->session, serial = this->serial,
                    response = std::move(response)]() mutable {
                       if (const auto alive = session.lock()) {
                           alive->respond(serial, response);
                       }
                   });
    }

    void onClientGone(std::function<void()> callback) override
    {
        asio::post(this->server->context,
                   [session = this->session, serial = this->serial,
                    callback = std::move(callback)]() mutable {
                       if (const auto alive = session.lock()) {
                           alive->setGoneCallback(serial, std::move(callback));
                       } else {
                           callback();
                       }
                   });
    }

private:
    std::weak_ptr<ServerSession> session;
    std::shared_ptr<ServerState> server;
    std::uint64_t serial;
    std::uint64_t connection;
};

void ServerSession::readNext()
{
    if (this->buffer.size() > 0) {
        this->readHeader();
        return;
    }
    this->stream.expires_after(this->server->limits.idleTimeout);
    this->stream.async_read_some(
        this->buffer.prepare(ReadChunkBytes),
        [self = this->shared_from_this()](beast::error_code error, std::size_t size) {
            if (error) {
                return;
            }
            self->buffer.commit(size);
            self->readHeader();
        });
}

void ServerSession::readHeader()
{
    this->setPending(true);
    this->requestStart = std::chrono::steady_clock::now();
    this->parser.emplace();
    this->parser->header_limit(static_cast<std::uint32_t>(this->server->limits.headerBytes));
    this->parser->body_limit(this->server->limits.bodyBytes);
    this->limitRead(this->requestStart + this->server->limits.headerTimeout);
    http::async_read_header(
        this->stream, this->buffer, *this->parser,
        [self = this->shared_from_this()](beast::error_code error, std::size_t) {
            if (self->finishRead(error, "fix the request header")) {
                self->readBody();
            }
        });
}

void ServerSession::readBody()
{
    this->limitRead(this->requestStart + this->server->limits.requestTimeout);
    http::async_read(this->stream, this->buffer, *this->parser,
                     [self = this->shared_from_this()](beast::error_code error, std::size_t) {
                         if (self->finishRead(error, "send the whole body within the limits")) {
                             self->dispatch();
                         }
                     });
}

void ServerSession::limitRead(TimePoint limit)
{
    // The stream's own timeout would close the socket, and the client would get no 408.
    this->stream.expires_never();
    this->reading = true;
    this->readTimer.expires_at(limit);
    this->readTimer.async_wait([weak = this->weak_from_this()](beast::error_code error) {
        const auto self = weak.lock();
        if (!error && self && self->reading) {
            self->readTimedOut = true;
            self->stream.cancel();
        }
    });
}

bool ServerSession::finishRead(beast::error_code error, const std::string &remedy)
{
    this->reading = false;
    this->readTimer.cancel();
    if (this->readTimedOut) {
        this->rejectRequest(408, "the request did not arrive in time", remedy);
        return false;
    }
    if (error) {
        this->rejectRequest(statusForParseError(error), error.message(), remedy);
        return false;
    }
    return true;
}

void ServerSession::dispatch()
{
    auto message = this->parser->release();
    this->parser.reset();
    this->clientKeepsAlive = message.keep_alive();
    this->headOnly = message.method() == http::verb::head;
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto &field : message) {
        request.headers.add(std::string_view(field.name_string()), std::string_view(field.value()));
    }
    request.body = std::move(message.body());
    const std::string repeated = repeatedHeader(request.headers);
    if (!repeated.empty()) {
        this->rejectRequest(400, "header " + repeated + " is repeated", "send it once");
        return;
    }
    if (!hasKnownFraming(request.headers)) {
        this->rejectRequest(400, "Transfer-Encoding is not 'chunked' alone",
                            "send the body with Content-Length or chunked");
        return;
    }
    this->inFlight = true;
    ++this->serial;
    this->stream.expires_never();
    this->watchClient();
    auto exchange = std::make_shared<Exchange>(this->weak_from_this(), this->server, this->serial,
                                               this->number);
    this->server->handler.handleRequest(std::move(request), std::move(exchange));
}

void ServerSession::rejectRequest(unsigned status, const std::string &problem,
                                  const std::string &remedy)
{
    HttpResponse rejection = makeTextResponse(status, problem + "; " + remedy + "\n");
    rejection.closeConnection = true;
    this->server->handler.decorateError(rejection);
    ++this->serial;
    this->clientKeepsAlive = false;
    this->write(rejection);
}

void ServerSession::respond(std::uint64_t forSerial, const HttpResponse &answer)
{
    if (forSerial != this->serial || !this->inFlight) {
        return;
    }
    this->write(answer);
}

void ServerSession::write(const HttpResponse &answer)
{
    this->inFlight = false;
    this->goneCallback = nullptr;
    const bool keepAlive
        = this->clientKeepsAlive && !answer.closeConnection && !this->server->draining.load();
    this->response = formatResponse(answer, keepAlive, this->headOnly);
    this->stream.expires_after(this->server->limits.requestTimeout);
    asio::async_write(
        this->stream, asio::buffer(this->response),
        [self = this->shared_from_this(), keepAlive](beast::error_code error, std::size_t) {
            self->finishWrite(error, keepAlive);
        });
}

void ServerSession::finishWrite(beast::error_code error, bool keepAlive)
{
    this->setPending(false);
    if (error || !keepAlive) {
        beast::error_code ignored;
        this->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
        this->stream.expires_after(LingerTimeout);
        this->discardUntilClosed();
        return;
    }
    this->readNext();
}

void ServerSession::discardUntilClosed()
{
    // Closing with unread data resets the connection, which can destroy the response on its way.
    this->buffer.clear();
    this->stream.async_read_some(
        this->buffer.prepare(ReadChunkBytes),
        [self = this->shared_from_this()](beast::error_code error, std::size_t) {
            if (error) {
                self->stream.close();
                return;
            }
            self->discardUntilClosed();
        });
}

void ServerSession::watchClient()
{
    if (this->watching) {
        return;
    }
    this->watching = true;
    this->stream.socket().async_wait(
        tcp::socket::wait_read,
        [self = this->shared_from_this(), watched = this->serial](beast::error_code error) {
            self->watching = false;
            if (error || !self->inFlight) {
                return;
            }
            if (watched != self->serial) {
                // The wait was started for an earlier request of this connection.
                self->watchClient();
                return;
            }
            char byte = 0;
            const auto size
                = ::recv(self->stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
            // A positive size is a pipelined request; it stays in the socket for later.
            if (size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK)) {
                self->clientGone();
            }
        });
}

void ServerSession::clientGone()
{
    if (const auto callback = std::exchange(this->goneCallback, nullptr)) {
        callback();
    }
}

void ServerSession::setGoneCallback(std::uint64_t forSerial, std::function<void()> callback)
{
    if (forSerial == this->serial && this->inFlight) {
        this->goneCallback = std::move(callback);
    }
}

void ServerSession::drop(std::uint64_t forSerial)
{
    if (forSerial == this->serial && this->inFlight) {
        this->goneCallback = nullptr;
        this->close();
    }
}

void ServerSession::setPending(bool value)
{
    if (this->pending == value) {
        return;
    }
    this->pending = value;
    if (value) {
        ++this->server->pending;
    } else {
        --this->server->pending;
    }
}

void ServerSession::close()
{
    this->stream.close();
}

} // namespace bronzeshed
