#include "http/serversession.h"

#include "http/beastmessage.h"
#include "http/directtransfer.h"
#include "http/requestchecks.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <string_view>
#include <utility>

namespace bronzeshed {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t ReadChunkBytes = 4096;
constexpr std::chrono::milliseconds LingerTimeout{2000};
constexpr const char *HeaderRemedy = "fix the request header";
constexpr const char *BodyRemedy = "send the whole body within the limits";

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

} // namespace

/** Passes a response or a callback from any thread to the session's thread. */
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
            if (const auto lockedSession = session.lock()) {
                lockedSession->drop(serial);
            }
        });
    }

    void respond(HttpResponse response) override
    {
        asio::post(this->server->context,
                   [session = this->session, serial = this->serial,
                    response = std::move(response)]() mutable {
                       if (const auto lockedSession = session.lock()) {
                           lockedSession->respond(serial, response);
                       }
                   });
    }

    void onClientDisconnected(std::function<void()> callback) override
    {
        // Runs immediately if called on the server's thread, which is the usual case.
        asio::dispatch(this->server->context,
                       [session = this->session, serial = this->serial,
                        callback = std::move(callback)]() mutable {
                           if (const auto lockedSession = session.lock()) {
                               lockedSession->setDisconnectCallback(serial, std::move(callback));
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
    this->timer.setDeadline(std::chrono::steady_clock::now() + this->server->limits.idleTimeout);
    this->readSome();
}

void ServerSession::readSome()
{
    if (this->readPending || this->clientClosed) {
        return;
    }
    this->readPending = true;
    this->stream.async_read_some(
        this->buffer.prepare(ReadChunkBytes),
        [self = this->shared_from_this()](beast::error_code error, std::size_t size) {
            self->readPending = false;
            self->finishReadSome(error, size);
        });
}

void ServerSession::finishReadSome(beast::error_code error, std::size_t size)
{
    if (this->discarding) {
        this->clientClosed = bool(error);
        this->discardUntilClosed();
        return;
    }
    if (error || this->closed) {
        // Bytes that arrived while the connection was being closed belong to no accepted request.
        this->clientClosed = true;
        if (error != asio::error::operation_aborted) {
            this->notifyDisconnect();
        }
        this->selfReference.reset();
        return;
    }
    this->buffer.commit(size);
    if (!this->pending) {
        this->readHeader();
    }
}

void ServerSession::readHeader()
{
    this->setPending(true);
    this->parser.emplace();
    this->parser->header_limit(static_cast<std::uint32_t>(this->server->limits.headerBytes));
    this->parser->body_limit(this->server->limits.bodyBytes);
    const beast::error_code error = parseBuffered(*this->parser, this->buffer);
    if (this->parser->is_done() && !error) {
        this->dispatch();
        return;
    }
    this->requestStart = std::chrono::steady_clock::now();
    if (this->parser->is_header_done()) {
        this->readBody(error);
        return;
    }
    if (error) {
        this->finishRead(error, HeaderRemedy);
        return;
    }
    this->setReadDeadline(this->requestStart + this->server->limits.headerTimeout);
    http::async_read_header(
        this->stream, this->buffer, *this->parser,
        [self = this->shared_from_this()](beast::error_code error, std::size_t) {
            if (self->finishRead(error, HeaderRemedy)) {
                self->readBody({});
            }
        });
}

void ServerSession::readBody(beast::error_code error)
{
    if (error) {
        this->finishRead(error, BodyRemedy);
        return;
    }
    this->setReadDeadline(this->requestStart + this->server->limits.requestTimeout);
    http::async_read(this->stream, this->buffer, *this->parser,
                     [self = this->shared_from_this()](beast::error_code error, std::size_t) {
                         if (self->finishRead(error, BodyRemedy)) {
                             self->dispatch();
                         }
                     });
}

void ServerSession::setReadDeadline(TimePoint deadline)
{
    this->reading = true;
    this->timer.setDeadline(deadline);
}

void ServerSession::onDeadlineExpired()
{
    if (!this->reading) {
        this->stream.close();
        return;
    }
    // Only the read is cancelled, so that the 408 response can still be sent.
    this->readTimedOut = true;
    this->stream.cancel();
}

bool ServerSession::finishRead(beast::error_code error, const std::string &remedy)
{
    this->reading = false;
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
    this->clientWantsKeepAlive = message.keep_alive();
    this->headOnly = message.method() == http::verb::head;
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto &field : message) {
        request.headers.add(std::string_view(field.name_string()), std::string_view(field.value()));
    }
    request.body = std::move(message.body());
    const std::string repeated = findRepeatedHeader(request.headers);
    if (!repeated.empty()) {
        this->rejectRequest(400, "header " + repeated + " is repeated", "send it once");
        return;
    }
    if (!hasUnambiguousFraming(request.headers)) {
        this->rejectRequest(400, "Transfer-Encoding is not 'chunked' alone",
                            "send the body with Content-Length or chunked");
        return;
    }
    this->inFlight = true;
    this->selfReference = this->shared_from_this();
    ++this->serial;
    this->timer.setDeadline(TimePoint::max());
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
    this->clientWantsKeepAlive = false;
    this->write(rejection);
}

void ServerSession::respond(std::uint64_t requestSerial, const HttpResponse &answer)
{
    if (requestSerial != this->serial || !this->inFlight) {
        return;
    }
    this->write(answer);
}

void ServerSession::write(const HttpResponse &answer)
{
    const auto released = std::move(this->selfReference);
    this->inFlight = false;
    this->disconnectCallback = nullptr;
    const bool keepAlive
        = this->clientWantsKeepAlive && !answer.closeConnection && !this->server->draining.load();
    this->response = formatResponse(answer, keepAlive, this->headOnly);
    // The complete response nearly always fits into the send buffer of the socket.
    const std::size_t sent = trySend(this->stream.socket().native_handle(), this->response);
    if (sent == this->response.size()) {
        this->finishWrite({}, keepAlive);
        return;
    }
    this->timer.setDeadline(std::chrono::steady_clock::now() + this->server->limits.requestTimeout);
    asio::async_write(
        this->stream, asio::buffer(this->response) + sent,
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
        this->timer.setDeadline(std::chrono::steady_clock::now() + LingerTimeout);
        this->discarding = true;
        this->discardUntilClosed();
        return;
    }
    this->readNext();
}

void ServerSession::discardUntilClosed()
{
    if (this->clientClosed) {
        this->stream.close();
        return;
    }
    // Closing with unread data resets the connection, and the client can lose the response.
    if (!this->readPending) {
        this->buffer.clear();
        this->readSome();
    }
}

void ServerSession::watchClient()
{
    // The read for the next request also detects that the client disconnected. It is not started
    // while the buffer holds a pipelined request.
    if (this->buffer.size() == 0) {
        this->readSome();
    }
}

void ServerSession::notifyDisconnect()
{
    if (const auto callback = std::exchange(this->disconnectCallback, nullptr)) {
        callback();
    }
}

void ServerSession::setDisconnectCallback(std::uint64_t requestSerial,
                                          std::function<void()> callback)
{
    if (requestSerial == this->serial && this->inFlight) {
        this->disconnectCallback = std::move(callback);
    }
}

void ServerSession::drop(std::uint64_t requestSerial)
{
    if (requestSerial == this->serial && this->inFlight) {
        this->disconnectCallback = nullptr;
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

void ServerSession::closeIfIdle()
{
    // After the last response, the session waits for the client to close: a close with unread bytes
    // resets the connection, and the client can lose the response.
    if (!this->pending && !this->discarding) {
        this->close();
    }
}

void ServerSession::close()
{
    this->closed = true;
    this->stream.close();
    // Released later, because HttpServer::stop() closes the sessions while it iterates over them.
    asio::post(this->server->context, [released = std::move(this->selfReference)] {});
}

} // namespace bronzeshed
