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
        // Runs at once on the server's thread, where the handler usually calls this.
        asio::dispatch(this->server->context,
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
    this->timer.setLimit(std::chrono::steady_clock::now() + this->server->limits.idleTimeout);
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
    if (error) {
        this->clientClosed = true;
        if (error != asio::error::operation_aborted) {
            this->clientGone();
        }
        this->held.reset();
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
    this->limitRead(this->requestStart + this->server->limits.headerTimeout);
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
    this->limitRead(this->requestStart + this->server->limits.requestTimeout);
    http::async_read(this->stream, this->buffer, *this->parser,
                     [self = this->shared_from_this()](beast::error_code error, std::size_t) {
                         if (self->finishRead(error, BodyRemedy)) {
                             self->dispatch();
                         }
                     });
}

void ServerSession::limitRead(TimePoint limit)
{
    this->reading = true;
    this->timer.setLimit(limit);
}

void ServerSession::limitPassed()
{
    if (!this->reading) {
        this->stream.close();
        return;
    }
    // Closing the socket would leave the client without its 408.
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
    this->held = this->shared_from_this();
    ++this->serial;
    this->timer.setLimit(TimePoint::max());
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
    const auto released = std::move(this->held);
    this->inFlight = false;
    this->goneCallback = nullptr;
    const bool keepAlive
        = this->clientKeepsAlive && !answer.closeConnection && !this->server->draining.load();
    this->response = formatResponse(answer, keepAlive, this->headOnly);
    // Nearly always the whole response fits into the socket's buffer.
    const std::size_t sent = sendNow(this->stream.socket().native_handle(), this->response);
    if (sent == this->response.size()) {
        this->finishWrite({}, keepAlive);
        return;
    }
    this->timer.setLimit(std::chrono::steady_clock::now() + this->server->limits.requestTimeout);
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
        this->timer.setLimit(std::chrono::steady_clock::now() + LingerTimeout);
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
    // Closing with unread data resets the connection, which can destroy the response on its way.
    if (!this->readPending) {
        this->buffer.clear();
        this->readSome();
    }
}

void ServerSession::watchClient()
{
    // A pipelined request in the buffer is left there, and the client is not watched. Otherwise the
    // read for the next request notices the end of the connection.
    if (this->buffer.size() == 0) {
        this->readSome();
    }
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
    // Not at once: the server closes its sessions while it walks over them.
    asio::post(this->server->context, [released = std::move(this->held)] {});
}

} // namespace bronzeshed
