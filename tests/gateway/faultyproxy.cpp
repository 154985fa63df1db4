#include "faultyproxy.h"

#include <array>

namespace bronzeshed {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::chrono::milliseconds Delay{80};
constexpr std::string_view RefusalStart = "HTTP/1.1 503";

} // namespace

struct FaultyProxy::Connection
{
    explicit Connection(asio::io_context &context)
        : client(context)
        , server(context)
    {
    }

    tcp::socket client;
    tcp::socket server;
    std::array<char, 4096> fromClient{};
    std::array<char, 4096> fromServer{};
    std::string lastRefusal; ///< of the server on this connection
};

FaultyProxy::FaultyProxy(const Endpoint &target)
    : target(asio::ip::make_address(target.host), target.port)
    , acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
{
    this->accept();
    this->thread = std::thread([this] { this->context.run(); });
}

FaultyProxy::~FaultyProxy()
{
    this->context.stop();
    this->thread.join();
}

Endpoint FaultyProxy::endpoint() const
{
    return {"127.0.0.1", this->acceptor.local_endpoint().port()};
}

void FaultyProxy::setFault(ProxyFault newFault)
{
    this->fault.store(newFault);
    if (newFault == ProxyFault::Reset) {
        asio::post(this->context, [this] {
            for (const auto &connection : std::exchange(this->connections, {})) {
                error_code ignored;
                connection->client.set_option(asio::socket_base::linger(true, 0), ignored);
                this->close(connection);
            }
        });
    }
}

void FaultyProxy::accept()
{
    auto connection = std::make_shared<Connection>(this->context);
    this->acceptor.async_accept(connection->client, [this, connection](error_code error) {
        if (!error) {
            this->connections.insert(connection);
            connection->server.async_connect(this->target, [this, connection](error_code failed) {
                if (failed) {
                    this->close(connection);
                    return;
                }
                this->forward(connection, true);
                this->forward(connection, false);
            });
        }
        this->accept();
    });
}

void FaultyProxy::forward(const std::shared_ptr<Connection> &connection, bool fromClient)
{
    auto &source = fromClient ? connection->client : connection->server;
    auto &bytes = fromClient ? connection->fromClient : connection->fromServer;
    source.async_read_some(
        asio::buffer(bytes),
        [this, connection, fromClient, &bytes](error_code error, std::size_t size) {
            if (error) {
                this->close(connection);
                return;
            }
            std::string received(bytes.data(), size);
            if (!fromClient && received.starts_with(RefusalStart)) {
                connection->lastRefusal = received;
            }
            if (fromClient && !connection->lastRefusal.empty()
                && this->fault.load() == ProxyFault::RepeatRefusals) {
                this->repeatRefusal(connection, std::move(received));
            } else {
                this->deliver(connection, fromClient, std::move(received));
            }
        });
}

void FaultyProxy::repeatRefusal(const std::shared_ptr<Connection> &connection, std::string request)
{
    auto copy = std::make_shared<std::string>(connection->lastRefusal);
    asio::async_write(
        connection->client, asio::buffer(*copy),
        [this, connection, copy, request = std::move(request)](error_code error, std::size_t) {
            if (error) {
                this->close(connection);
                return;
            }
            this->deliver(connection, true, request);
        });
}

bool FaultyProxy::discards(bool fromClient) const
{
    const ProxyFault now = this->fault.load();
    return now == ProxyFault::Silent || (now == ProxyFault::OneWay && !fromClient);
}

void FaultyProxy::deliver(const std::shared_ptr<Connection> &connection, bool fromClient,
                          std::string bytes)
{
    if (this->discards(fromClient)) {
        // The bytes are discarded and reading stops, so this direction forwards no more bytes.
        return;
    }
    const bool delayed = this->fault.load() == ProxyFault::Delayed;
    auto timer = std::make_shared<asio::steady_timer>(
        this->context, delayed ? Delay : std::chrono::milliseconds(0));
    timer->async_wait([this, connection, fromClient, timer, bytes = std::move(bytes)](error_code) {
        auto &destination = fromClient ? connection->server : connection->client;
        auto owned = std::make_shared<std::string>(bytes);
        asio::async_write(destination, asio::buffer(*owned),
                          [this, connection, fromClient, owned](error_code error, std::size_t) {
                              if (error) {
                                  this->close(connection);
                                  return;
                              }
                              this->forward(connection, fromClient);
                          });
    });
}

void FaultyProxy::close(const std::shared_ptr<Connection> &connection)
{
    error_code ignored;
    connection->client.close(ignored);
    connection->server.close(ignored);
    this->connections.erase(connection);
}

} // namespace bronzeshed
