#include "http/httpserver.h"

#include "base/error.h"
#include "base/logline.h"
#include "http/serversession.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <future>
#include <thread>

namespace bronzeshed {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

namespace {

constexpr std::chrono::milliseconds AcceptRetryDelay{50};
constexpr std::chrono::milliseconds FinishCheckPeriod{10};

} // namespace

void HttpHandler::decorateError(HttpResponse &) { }

/** Listens on the endpoint and creates a session for each accepted connection. */
class HttpServer::Implementation : public ServerState,
                                   public std::enable_shared_from_this<Implementation>
{
public:
    Implementation(const HttpLimits &limits, HttpHandler &handler)
        : ServerState(limits, handler)
        , acceptor(context)
        , acceptTimer(context)
        , running(context.get_executor())
    {
    }

    void open(const Endpoint &endpoint);
    void accept();

    tcp::acceptor acceptor;
    asio::steady_timer acceptTimer;
    /**
     * Keeps the thread running until stop(). A handler that is posted after the thread has returned
     * never runs, and the reference to this object that it holds would never be released.
     */
    asio::executor_work_guard<asio::io_context::executor_type> running;
    Endpoint bound;
    std::thread thread;
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
            // A connection may have been accepted just before the socket was closed.
            if (error == asio::error::operation_aborted || !self->acceptor.is_open()) {
                return;
            }
            if (error) {
                // Usually out of file descriptors; retrying without a delay would spin.
                LogLine("accept_failed", LogLevel::Warning).add("error", error.message());
                self->acceptTimer.expires_after(AcceptRetryDelay);
                self->acceptTimer.async_wait([self](beast::error_code) { self->accept(); });
                return;
            }
            if (self->sessions.size() < self->limits.connections) {
                beast::error_code ignored;
                socket.set_option(tcp::no_delay(true), ignored);
                std::make_shared<ServerSession>(std::move(socket), self)->readNext();
            } else {
                LogLine("connection_refused", LogLevel::Warning).add("reason", "connection_limit");
            }
            self->accept();
        });
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

void HttpServer::setLimits(const HttpLimits &limits)
{
    asio::post(this->implementation->context,
               [self = this->implementation, limits] { self->limits = limits; });
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

void HttpServer::finish(std::chrono::milliseconds limit)
{
    const TimePoint end = std::chrono::steady_clock::now() + limit;
    std::promise<void> idleClosed;
    asio::post(this->implementation->context, [self = this->implementation, &idleClosed] {
        self->draining.store(true);
        beast::error_code ignored;
        self->acceptor.close(ignored);
        self->acceptTimer.cancel();
        for (ServerSession *session : self->sessions) {
            session->closeIfIdle();
        }
        // Closed sessions are destroyed by handlers that are already queued.
        asio::post(self->context, [&idleClosed] { idleClosed.set_value(); });
    });
    idleClosed.get_future().wait();
    while (this->openConnections() > 0 && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(FinishCheckPeriod);
    }
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
        // The sessions remain valid here: their aborted operations release the last references.
        for (ServerSession *session : self->sessions) {
            session->close();
        }
        self->running.reset();
    });
    this->implementation->thread.join();
}

} // namespace bronzeshed
