#include "faultyproxy.h"

#include <array>

namespace bronzeshed {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::chrono::milliseconds Delay{80};

} // namespace

struct FaultyProxy::Link
{
    explicit Link(asio::io_context &context)
        : client(context)
        , server(context)
    {
    }

    tcp::socket client;
    tcp::socket server;
    std::array<char, 4096> fromClient{};
    std::array<char, 4096> fromServer{};
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
            for (const auto &link : std::exchange(this->links, {})) {
                error_code ignored;
                link->client.set_option(asio::socket_base::linger(true, 0), ignored);
                this->close(link);
            }
        });
    }
}

void FaultyProxy::accept()
{
    auto link = std::make_shared<Link>(this->context);
    this->acceptor.async_accept(link->client, [this, link](error_code error) {
        if (!error) {
            this->links.insert(link);
            link->server.async_connect(this->target, [this, link](error_code failed) {
                if (failed) {
                    this->close(link);
                    return;
                }
                this->forward(link, true);
                this->forward(link, false);
            });
        }
        this->accept();
    });
}

void FaultyProxy::forward(const std::shared_ptr<Link> &link, bool fromClient)
{
    auto &source = fromClient ? link->client : link->server;
    auto &bytes = fromClient ? link->fromClient : link->fromServer;
    source.async_read_some(asio::buffer(bytes),
                           [this, link, fromClient, &bytes](error_code error, std::size_t size) {
                               if (error) {
                                   this->close(link);
                                   return;
                               }
                               this->pass(link, fromClient, std::string(bytes.data(), size));
                           });
}

bool FaultyProxy::holds(bool fromClient) const
{
    const ProxyFault now = this->fault.load();
    return now == ProxyFault::Silent || (now == ProxyFault::OneWay && !fromClient);
}

void FaultyProxy::pass(const std::shared_ptr<Link> &link, bool fromClient, std::string bytes)
{
    if (this->holds(fromClient)) {
        // The bytes are lost: the connection stays silent in this direction for good.
        return;
    }
    const bool delayed = this->fault.load() == ProxyFault::Delayed;
    auto timer = std::make_shared<asio::steady_timer>(
        this->context, delayed ? Delay : std::chrono::milliseconds(0));
    timer->async_wait([this, link, fromClient, timer, bytes = std::move(bytes)](error_code) {
        auto &sink = fromClient ? link->server : link->client;
        auto owned = std::make_shared<std::string>(bytes);
        asio::async_write(sink, asio::buffer(*owned),
                          [this, link, fromClient, owned](error_code error, std::size_t) {
                              if (error) {
                                  this->close(link);
                                  return;
                              }
                              this->forward(link, fromClient);
                          });
    });
}

void FaultyProxy::close(const std::shared_ptr<Link> &link)
{
    error_code ignored;
    link->client.close(ignored);
    link->server.close(ignored);
    this->links.erase(link);
}

} // namespace bronzeshed
