#include "http/httpserver.h"

#include "base/error.h"
#include "base/logline.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <set>
#include <sys/socket.h>
#include <thread>

namespace bronzeshed {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t ReadChunkBytes = 4096;
constexpr std::chrono::milliseconds LingerTimeout{2000};
constexpr std::chrono::milliseconds AcceptRetryDelay{50};

unsigned statusForParseError(beast::error_code error)
{
    if (error == http::error::header_limit) {
        return 431;
    }
    if (error == http::error::body_limit) {
        return 413;
    }
    if (error == beast::error::timeout) {
        return 408;
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

} // namespace

void HttpHandler::decorateError(HttpResponse &) { }

/** Shared state of the server; sessions keep it alive. */
class HttpServer::Implementation : public std::enable_shared_from_this<Implementation>
{
public:
    Implementation(const HttpLimits &limits, HttpHandler &handler)
        : limits(limits)
        , handler(handler)
        , acceptor(context)
        , acceptTimer(context)
    {
    }

    void open(const Endpoint &endpoint);
    void accept();

    class Session;

    HttpLimits limits;
    HttpHandler &handler;
    asio::io_context context;
    tcp::acceptor acceptor;
    asio::steady_timer acceptTimer;
    Endpoint bound;
    std::thread thread;
    std::set<Session *> sessions;
    std::uint64_t lastConnection = 0;
    std::atomic<std::size_t> connections{0};
    std::atomic<std::size_t> pending{0};
    std::atomic<bool> draining{false};
};

/** One client connection; handles one request at a time. */
class HttpServer::Implementation::Session : public std::enable_shared_from_this<Session>
{
public:
    Session(tcp::socket socket, std::shared_ptr<Implementation> server)
        : server(std::move(server))
        , stream(std::move(socket))
        , number(++this->server->lastConnection)
    {
        this->server->sessions.insert(this);
        this->server->connections.store(this->server->sessions.size());
    }

    ~Session()
    {
        this->setInFlight(false);
        this->server->sessions.erase(this);
        this->server->connections.store(this->server->sessions.size());
    }

    Session(const Session &) = delete;
    Session &operator=(const Session &) = delete;

    void readNext();
    void close();
    void respond(std::uint64_t serial, const HttpResponse &response);
    void setGoneCallback(std::uint64_t serial, std::function<void()> callback);
    void drop(std::uint64_t serial);

private:
    class Exchange;

    void readHeader();
    void readBody();
    void dispatch();
    void rejectRequest(unsigned status, const std::string &problem, const std::string &remedy);
    void write(const HttpResponse &response);
    void finishWrite(beast::error_code error, bool keepAlive);
    void discardUntilClosed();
    void watchClient();
    void clientGone();
    void setInFlight(bool value);

    std::shared_ptr<Implementation> server;
    beast::tcp_stream stream;
    std::uint64_t number;
    beast::flat_buffer buffer;
    std::optional<http::request_parser<http::string_body>> parser;
    http::response<http::string_body> response;
    std::function<void()> goneCallback;
    std::uint64_t serial = 0;
    bool clientKeepsAlive = true;
    bool headOnly = false;
    bool inFlight = false;
    bool reading = false;
    bool watching = false;
};

/** Hands a response from any thread to the session's thread. */
class HttpServer::Implementation::Session::Exchange : public HttpExchange
{
public:
    Exchange(std::weak_ptr<Session> session, std::shared_ptr<Implementation> server,
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
    std::weak_ptr<Session> session;
    std::shared_ptr<Implementation> server;
    std::uint64_t serial;
    std::uint64_t connection;
};

void HttpServer::Implementation::open(const Endpoint &endpoint)
{
    try {
        const tcp::endpoint address(asio::ip::make_address(endpoint.host), endpoint.port);
        this->acceptor.open(address.protocol());
        this->acceptor.set_option(asio::socket_base::reuse_address(true));
        this->acceptor.bind(address);
        this->acceptor.listen(asio::socket_base::max_listen_connections);
    } catch (const boost::system::system_error &error) {
        throw Error("cannot listen on " + endpoint.toString() + ": " + error.code().message(),
                    "choose a free address and port of this instance");
    }
    this->bound = {this->acceptor.local_endpoint().address().to_string(),
                   this->acceptor.local_endpoint().port()};
}

void HttpServer::Implementation::accept()
{
    this->acceptor.async_accept(
        [self = this->shared_from_this()](beast::error_code error, tcp::socket socket) {
            if (error == asio::error::operation_aborted) {
                return;
            }
            if (error) {
                // Out of descriptors: retrying at once would spin.
                LogLine("accept_failed", LogLevel::Warning).add("error", error.message());
                self->acceptTimer.expires_after(AcceptRetryDelay);
                self->acceptTimer.async_wait([self](beast::error_code) { self->accept(); });
                return;
            }
            if (self->sessions.size() < self->limits.connections) {
                beast::error_code ignored;
                socket.set_option(tcp::no_delay(true), ignored);
                std::make_shared<Session>(std::move(socket), self)->readNext();
            } else {
                LogLine("connection_refused", LogLevel::Warning).add("reason", "connection_limit");
            }
            self->accept();
        });
}

void HttpServer::Implementation::Session::readNext()
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

void HttpServer::Implementation::Session::readHeader()
{
    this->reading = true;
    this->parser.emplace();
    this->parser->header_limit(static_cast<std::uint32_t>(this->server->limits.headerBytes));
    this->parser->body_limit(this->server->limits.bodyBytes);
    this->stream.expires_after(this->server->limits.headerTimeout);
    http::async_read_header(
        this->stream, this->buffer, *this->parser,
        [self = this->shared_from_this()](beast::error_code error, std::size_t) {
            if (error) {
                self->rejectRequest(statusForParseError(error), error.message(),
                                    "fix the request header");
                return;
            }
            self->readBody();
        });
}

void HttpServer::Implementation::Session::readBody()
{
    this->stream.expires_after(this->server->limits.requestTimeout);
    http::async_read(this->stream, this->buffer, *this->parser,
                     [self = this->shared_from_this()](beast::error_code error, std::size_t) {
                         if (error) {
                             self->rejectRequest(statusForParseError(error), error.message(),
                                                 "send the whole body within the limits");
                             return;
                         }
                         self->dispatch();
                     });
}

void HttpServer::Implementation::Session::dispatch()
{
    this->reading = false;
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
    this->setInFlight(true);
    ++this->serial;
    this->stream.expires_never();
    this->watchClient();
    auto exchange = std::make_shared<Exchange>(this->weak_from_this(), this->server, this->serial,
                                               this->number);
    this->server->handler.handleRequest(std::move(request), std::move(exchange));
}

void HttpServer::Implementation::Session::rejectRequest(unsigned status, const std::string &problem,
                                                        const std::string &remedy)
{
    this->reading = false;
    HttpResponse rejection = makeTextResponse(status, problem + "; " + remedy + "\n");
    rejection.closeConnection = true;
    this->server->handler.decorateError(rejection);
    this->setInFlight(true);
    ++this->serial;
    this->clientKeepsAlive = false;
    this->write(rejection);
}

void HttpServer::Implementation::Session::respond(std::uint64_t forSerial,
                                                  const HttpResponse &answer)
{
    if (forSerial != this->serial || !this->inFlight) {
        return;
    }
    this->write(answer);
}

void HttpServer::Implementation::Session::write(const HttpResponse &answer)
{
    this->goneCallback = nullptr;
    const bool keepAlive
        = this->clientKeepsAlive && !answer.closeConnection && !this->server->draining.load();
    this->response = {};
    this->response.version(11);
    this->response.result(answer.status);
    for (const auto &[name, value] : answer.headers.fields()) {
        this->response.insert(name, value);
    }
    this->response.body() = answer.body;
    this->response.keep_alive(keepAlive);
    this->response.prepare_payload();
    if (this->headOnly) {
        this->response.body().clear();
    }
    this->stream.expires_after(this->server->limits.requestTimeout);
    http::async_write(
        this->stream, this->response,
        [self = this->shared_from_this(), keepAlive](beast::error_code error, std::size_t) {
            self->finishWrite(error, keepAlive);
        });
}

void HttpServer::Implementation::Session::finishWrite(beast::error_code error, bool keepAlive)
{
    this->setInFlight(false);
    if (error || !keepAlive) {
        beast::error_code ignored;
        this->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
        this->stream.expires_after(LingerTimeout);
        this->discardUntilClosed();
        return;
    }
    this->readNext();
}

void HttpServer::Implementation::Session::discardUntilClosed()
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

void HttpServer::Implementation::Session::watchClient()
{
    if (this->watching) {
        return;
    }
    this->watching = true;
    this->stream.socket().async_wait(
        tcp::socket::wait_read,
        [self = this->shared_from_this(), watched = this->serial](beast::error_code error) {
            self->watching = false;
            if (error || !self->inFlight || watched != self->serial) {
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

void HttpServer::Implementation::Session::clientGone()
{
    if (const auto callback = std::exchange(this->goneCallback, nullptr)) {
        callback();
    }
}

void HttpServer::Implementation::Session::setGoneCallback(std::uint64_t forSerial,
                                                          std::function<void()> callback)
{
    if (forSerial == this->serial && this->inFlight) {
        this->goneCallback = std::move(callback);
    }
}

void HttpServer::Implementation::Session::drop(std::uint64_t forSerial)
{
    if (forSerial == this->serial && this->inFlight) {
        this->goneCallback = nullptr;
        this->close();
    }
}

void HttpServer::Implementation::Session::setInFlight(bool value)
{
    if (this->inFlight == value) {
        return;
    }
    this->inFlight = value;
    if (value) {
        ++this->server->pending;
    } else {
        --this->server->pending;
    }
}

void HttpServer::Implementation::Session::close()
{
    this->stream.close();
}

HttpServer::HttpServer(const Endpoint &endpoint, const HttpLimits &limits, HttpHandler &handler)
    : implementation(std::make_shared<Implementation>(limits, handler))
{
    this->implementation->open(endpoint);
    this->implementation->accept();
    this->implementation->thread
        = std::thread([raw = this->implementation.get()] { raw->context.run(); });
}

HttpServer::~HttpServer()
{
    this->stop();
}

Endpoint HttpServer::localEndpoint() const
{
    return this->implementation->bound;
}

void HttpServer::startDraining()
{
    this->implementation->draining.store(true);
}

std::size_t HttpServer::pendingRequests() const
{
    return this->implementation->pending.load();
}

std::size_t HttpServer::openConnections() const
{
    return this->implementation->connections.load();
}

void HttpServer::stop()
{
    if (!this->implementation->thread.joinable()) {
        return;
    }
    asio::post(this->implementation->context, [self = this->implementation] {
        beast::error_code ignored;
        self->acceptor.close(ignored);
        self->acceptTimer.cancel();
        // Closing drops the sessions' last references later, from their aborted operations.
        for (Implementation::Session *session : self->sessions) {
            session->close();
        }
    });
    this->implementation->thread.join();
}

} // namespace bronzeshed
