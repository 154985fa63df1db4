#include "http/connectionpool.h"

#include "base/logline.h"
#include "base/parsenumber.h"
#include "http/beastmessage.h"
#include "http/directtransfer.h"
#include "http/idleconnections.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <string_view>
#include <thread>
#include <unordered_map>

namespace bronzeshed {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

/**
 * The dispatcher cancels an attempt at the same deadline and can be slightly early. A cancellation
 * this close to the deadline is counted as a timeout.
 */
constexpr std::chrono::milliseconds DeadlineTolerance{20};
constexpr std::chrono::seconds SweepPeriod{5};
constexpr std::size_t ReadChunkBytes = 4096;
/**
 * Maximum number of responses to earlier requests that are skipped on one connection. With more of
 * them, the server's responses no longer match the requests, and the exchange fails.
 */
constexpr unsigned MaxSkippedResponses = 3;
/** Interim responses (1xx) per exchange. A faulty server may send them without end. */
constexpr unsigned MaxInterimResponses = 8;
constexpr unsigned FirstSuccess = 200;
constexpr unsigned FirstRedirect = 300;
/** Upstreams of a protocol without ids refuse a request with a server error. */
constexpr unsigned FirstServerError = 500;

/** Parses the "timeout" parameter of a Keep-Alive header, in seconds. */
std::optional<std::uint64_t> keepAliveSeconds(std::string_view header)
{
    constexpr std::string_view Name = "timeout=";
    const auto start = header.find(Name);
    if (start == std::string_view::npos) {
        return std::nullopt;
    }
    header.remove_prefix(start + Name.size());
    return parseNumber(header.substr(0, header.find_first_not_of("0123456789")));
}

} // namespace

class ConnectionPool::Implementation : public std::enable_shared_from_this<Implementation>
{
public:
    explicit Implementation(const ConnectionPoolLimits &limits)
        : limits(limits)
        , work(asio::make_work_guard(context))
        , sweepTimer(context)
        , idle(limits)
    {
    }

    class Exchange;

    void scheduleSweep();
    /** Fails the exchange with the largest incomplete body if all of them exceed their limit. */
    void enforceTotalBodyBytes();

    ConnectionPoolLimits limits;
    std::size_t bufferedBodyBytes = 0; ///< in the incomplete bodies of all exchanges
    std::atomic<std::size_t> connections{0};
    std::uint64_t lastConnection = 0;
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> work;
    asio::steady_timer sweepTimer;
    std::thread thread;
    IdleConnections idle;
    std::unordered_map<AttemptId, std::shared_ptr<Exchange>> exchanges;
};

/** A request and its response on one connection. */
class ConnectionPool::Implementation::Exchange : public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(std::shared_ptr<Implementation> pool, AttemptId id, Endpoint endpoint,
             const HttpRequest &request, ConnectionUse use, TimePoint deadline, Callback callback,
             ResponseRules rules)
        : pool(std::move(pool))
        , id(id)
        , endpoint(std::move(endpoint))
        , use(use)
        , deadline(deadline)
        , callback(std::move(callback))
        , rules(std::move(rules))
        , headOnly(request.method == "HEAD")
        , message(formatRequest(request, this->endpoint.toString(), true))
    {
    }

    void start();
    void cancel();
    /** Ends the exchange because its response exceeds a limit. */
    void rejectResponse(const char *reason);
    std::size_t bufferedBytes() const { return this->bodyBytes; }

private:
    void connect();
    void write();
    void startReading();
    void readHeader();
    void handleHeader();
    void readBody();
    void countBodyBytes(std::size_t bytes);
    void succeed();
    bool isSuccess() const;
    bool hasEcho() const;
    bool answersEarlierRequest() const;
    void skipResponse();
    void returnToPool();
    ConnectionTrace trace() const;
    void fail();
    void finish(ExchangeResult result);

    std::shared_ptr<Implementation> pool;
    AttemptId id;
    Endpoint endpoint;
    ConnectionUse use;
    TimePoint deadline;
    Callback callback;
    ResponseRules rules;
    bool headOnly;
    std::string message; ///< serialized request
    std::optional<http::response_parser<http::string_body>> parser;
    HttpHeaders headers; ///< of the response, without its trailers
    std::unique_ptr<PooledConnection> connection;
    bool writing = false;
    bool cancelled = false;
    bool rejected = false; ///< the response exceeded a limit
    unsigned skippedResponses = 0; ///< responses to earlier requests on this connection
    unsigned interimResponses = 0;
    std::size_t bodyBytes = 0; ///< received bytes of an incomplete body
};

void ConnectionPool::Implementation::scheduleSweep()
{
    this->sweepTimer.expires_after(SweepPeriod);
    this->sweepTimer.async_wait([this](beast::error_code error) {
        if (!error) {
            this->idle.sweep();
            this->scheduleSweep();
        }
    });
}

void ConnectionPool::Implementation::enforceTotalBodyBytes()
{
    if (this->bufferedBodyBytes <= this->limits.totalBodyBytes) {
        return;
    }
    const auto largest = std::max_element(
        this->exchanges.begin(), this->exchanges.end(), [](const auto &left, const auto &right) {
            return left.second->bufferedBytes() < right.second->bufferedBytes();
        });
    largest->second->rejectResponse("total_body_limit");
}

void ConnectionPool::Implementation::Exchange::start()
{
    this->pool->exchanges.emplace(this->id, this->shared_from_this());
    if (std::chrono::steady_clock::now() >= this->deadline) {
        // The process was paused after the attempt was scheduled, so the decision may be outdated.
        this->finish({});
        return;
    }
    this->connection = this->pool->idle.take(this->endpoint, this->use, this->rules.echoValue);
    if (this->connection) {
        this->write();
    } else {
        this->connect();
    }
}

void ConnectionPool::Implementation::Exchange::connect()
{
    this->connection = std::make_unique<PooledConnection>(
        this->pool->context, ++this->pool->lastConnection, this->pool->connections);
    const TimePoint limit = std::chrono::steady_clock::now() + this->pool->limits.connectTimeout;
    this->connection->stream.expires_at(std::min(limit, this->deadline));
    const tcp::endpoint address(asio::ip::make_address(this->endpoint.host), this->endpoint.port);
    this->connection->stream.async_connect(
        address, [self = this->shared_from_this()](beast::error_code error) {
            if (error || self->cancelled) {
                self->fail();
                return;
            }
            beast::error_code ignored;
            self->connection->stream.socket().set_option(tcp::no_delay(true), ignored);
            self->write();
        });
}

void ConnectionPool::Implementation::Exchange::write()
{
    this->writing = true;
    ++this->connection->uses;
    this->connection->stream.expires_never();
    this->connection->setDeadline(this->deadline);
    // The complete request nearly always fits into the send buffer of the socket.
    const std::size_t sent
        = trySend(this->connection->stream.socket().native_handle(), this->message);
    if (sent == this->message.size()) {
        this->startReading();
        return;
    }
    asio::async_write(this->connection->stream, asio::buffer(this->message) + sent,
                      [self = this->shared_from_this()](beast::error_code error, std::size_t) {
                          if (error) {
                              self->fail();
                              return;
                          }
                          self->startReading();
                      });
}

void ConnectionPool::Implementation::Exchange::startReading()
{
    this->connection->stream.async_read_some(
        this->connection->buffer.prepare(ReadChunkBytes),
        [self = this->shared_from_this()](beast::error_code error, std::size_t size) {
            if (error) {
                self->fail();
                return;
            }
            self->connection->buffer.commit(size);
            self->readHeader();
        });
}

void ConnectionPool::Implementation::Exchange::readHeader()
{
    this->countBodyBytes(0);
    this->parser.emplace();
    this->parser->body_limit(this->rules.bodyBytes.value_or(this->pool->limits.bodyBytes));
    this->parser->skip(this->headOnly);
    if (parseBuffered(*this->parser, this->connection->buffer, ParseEnd::Header)) {
        this->fail();
        return;
    }
    if (this->parser->is_header_done()) {
        this->handleHeader();
        return;
    }
    http::async_read_header(
        this->connection->stream, this->connection->buffer, *this->parser,
        [self = this->shared_from_this()](beast::error_code error, std::size_t) {
            if (error) {
                self->fail();
                return;
            }
            self->handleHeader();
        });
}

void ConnectionPool::Implementation::Exchange::handleHeader()
{
    constexpr unsigned SwitchingProtocols = 101;
    const unsigned status = this->parser->get().result_int();
    if (status < FirstSuccess && status != SwitchingProtocols) {
        // Interim responses such as 100 Continue precede the final response.
        if (++this->interimResponses > MaxInterimResponses) {
            this->rejectResponse("too_many_interim_responses");
            this->fail();
            return;
        }
        this->readHeader();
        return;
    }
    // Beast adds trailers to the headers, but they must not change what the headers have said.
    this->headers = fromBeastHeaders(this->parser->get());
    const bool closeDelimited = this->parser->need_eof();
    if (status == SwitchingProtocols || (closeDelimited && !this->rules.acceptCloseDelimited)) {
        // Without a length or chunks, a truncated response cannot be detected.
        this->fail();
        return;
    }
    if (parseBuffered(*this->parser, this->connection->buffer)) {
        this->fail();
        return;
    }
    this->readBody();
}

void ConnectionPool::Implementation::Exchange::readBody()
{
    this->countBodyBytes(this->parser->get().body().size());
    if (this->rejected) {
        this->fail();
        return;
    }
    if (this->parser->is_done()) {
        this->succeed();
        return;
    }
    // The body is read in parts, so that the memory of all incomplete bodies stays limited.
    http::async_read_some(this->connection->stream, this->connection->buffer, *this->parser,
                          [self = this->shared_from_this()](beast::error_code error, std::size_t) {
                              if (error) {
                                  self->fail();
                                  return;
                              }
                              self->readBody();
                          });
}

void ConnectionPool::Implementation::Exchange::countBodyBytes(std::size_t bytes)
{
    this->pool->bufferedBodyBytes += bytes - this->bodyBytes;
    this->bodyBytes = bytes;
    if (bytes > 0) {
        this->pool->enforceTotalBodyBytes();
    }
}

void ConnectionPool::Implementation::Exchange::rejectResponse(const char *reason)
{
    LogLine("response_too_large", LogLevel::Warning)
        .add("upstream", this->endpoint.toString())
        .add("reason", reason)
        .add("body_bytes", this->bodyBytes);
    this->rejected = true;
    this->connection->stream.close();
}

void ConnectionPool::Implementation::Exchange::succeed()
{
    if (this->answersEarlierRequest()) {
        this->skipResponse();
        return;
    }
    this->pool->idle.recordResponse(this->endpoint);
    const ConnectionTrace trace = this->trace();
    this->returnToPool();
    HttpResponse response;
    response.status = this->parser->get().result_int();
    response.headers = std::move(this->headers);
    response.body = std::move(this->parser->get().body());
    this->finish({ExchangeStatus::Answered, std::move(response), trace});
}

bool ConnectionPool::Implementation::Exchange::isSuccess() const
{
    const unsigned status = this->parser->get().result_int();
    return status >= FirstSuccess && status < FirstRedirect;
}

bool ConnectionPool::Implementation::Exchange::hasEcho() const
{
    return this->headers.find(this->rules.echoHeader).has_value();
}

bool ConnectionPool::Implementation::Exchange::answersEarlierRequest() const
{
    if (this->rules.echoHeader.empty()) {
        return false;
    }
    if (const auto echo = this->headers.find(this->rules.echoHeader)) {
        return *echo != this->rules.echoValue;
    }
    // A success without an id answers an earlier request that had none, such as a probe.
    return !this->rules.echoValue.empty() && this->isSuccess();
}

void ConnectionPool::Implementation::Exchange::skipResponse()
{
    ++this->skippedResponses;
    if (this->skippedResponses > MaxSkippedResponses || !this->parser->keep_alive()) {
        this->fail();
        return;
    }
    if (this->connection->buffer.size() > 0) {
        this->readHeader();
    } else {
        this->startReading();
    }
}

void ConnectionPool::Implementation::Exchange::returnToPool()
{
    // A late second copy of a refusal without an id could not be told from the refusal of the next
    // request on the connection, which would then be repeated although it runs.
    const bool withoutIds = this->rules.echoHeader.empty();
    const bool copiesDetectable = this->isSuccess()
        || (withoutIds ? this->parser->get().result_int() < FirstServerError
                       : this->hasEcho() && !this->rules.echoValue.empty());
    // Bytes after the response would be parsed as the response of the next exchange.
    const bool reusable = this->parser->keep_alive() && this->connection->buffer.size() == 0
        && this->skippedResponses == 0 && copiesDetectable;
    if (!reusable || this->cancelled || this->connection->isTimedOut()) {
        return;
    }
    if (!this->isSuccess() && !this->rules.echoValue.empty()) {
        this->connection->recordUnsuccessful(this->rules.echoValue);
        if (this->connection->recordsFull()) {
            return;
        }
    }
    const auto seconds = keepAliveSeconds(this->parser->get()["Keep-Alive"]);
    if (seconds) {
        this->connection->serverIdleTimeout
            = std::chrono::seconds(*seconds) - this->pool->limits.keepAliveMargin;
    }
    this->pool->idle.put(this->endpoint, std::move(this->connection));
}

ConnectionTrace ConnectionPool::Implementation::Exchange::trace() const
{
    if (!this->connection) {
        return {};
    }
    return {this->connection->number, this->connection->uses, this->skippedResponses};
}

void ConnectionPool::Implementation::Exchange::fail()
{
    ExchangeResult result;
    result.connection = this->trace();
    if (!this->writing) {
        result.status = ExchangeStatus::NotSent;
    } else if (this->cancelled) {
        result.status = ExchangeStatus::Cancelled;
    } else if (this->connection && this->connection->isTimedOut()) {
        result.status = ExchangeStatus::TimedOut;
    } else {
        result.status = ExchangeStatus::Failed;
    }
    const bool atDeadline = std::chrono::steady_clock::now() + DeadlineTolerance >= this->deadline;
    if (result.status == ExchangeStatus::TimedOut
        || (result.status == ExchangeStatus::Cancelled && atDeadline)) {
        this->pool->idle.recordTimeout(this->endpoint);
    }
    this->finish(std::move(result));
}

void ConnectionPool::Implementation::Exchange::finish(ExchangeResult result)
{
    this->connection.reset();
    this->countBodyBytes(0);
    this->pool->exchanges.erase(this->id);
    if (const Callback done = std::exchange(this->callback, nullptr)) {
        done(std::move(result));
    }
}

void ConnectionPool::Implementation::Exchange::cancel()
{
    this->cancelled = true;
    if (this->connection) {
        this->connection->stream.close();
    }
}

ConnectionPool::ConnectionPool(const ConnectionPoolLimits &limits)
    : implementation(std::make_shared<Implementation>(limits))
{
    this->implementation->scheduleSweep();
    this->implementation->thread
        = std::thread([raw = this->implementation.get()] { raw->context.run(); });
}

ConnectionPool::~ConnectionPool()
{
    this->stop();
}

void ConnectionPool::send(AttemptId id, const Endpoint &endpoint, const HttpRequest &request,
                          ConnectionUse use, Duration timeout, Callback callback,
                          ResponseRules rules)
{
    const TimePoint deadline = std::chrono::steady_clock::now() + timeout;
    auto exchange = std::make_shared<Implementation::Exchange>(
        this->implementation, id, endpoint, request, use, deadline, std::move(callback),
        std::move(rules));
    asio::post(this->implementation->context, [exchange] { exchange->start(); });
}

void ConnectionPool::cancel(AttemptId id)
{
    asio::post(this->implementation->context, [raw = this->implementation.get(), id] {
        const auto found = raw->exchanges.find(id);
        if (found != raw->exchanges.end()) {
            found->second->cancel();
        }
    });
}

void ConnectionPool::dropIdle(const Endpoint &endpoint)
{
    asio::post(this->implementation->context,
               [raw = this->implementation.get(), endpoint] { raw->idle.close(endpoint); });
}

std::size_t ConnectionPool::openConnections() const
{
    return this->implementation->connections.load();
}

void ConnectionPool::stop()
{
    if (!this->implementation->thread.joinable()) {
        return;
    }
    asio::post(this->implementation->context, [raw = this->implementation.get()] {
        raw->idle.closeAll();
        raw->sweepTimer.cancel();
        const auto running = raw->exchanges;
        for (const auto &[id, exchange] : running) {
            exchange->cancel();
        }
        raw->work.reset();
    });
    this->implementation->thread.join();
}

} // namespace bronzeshed
