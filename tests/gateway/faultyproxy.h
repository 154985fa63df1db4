#ifndef BRONZESHED_TESTS_FAULTYPROXY_H
#define BRONZESHED_TESTS_FAULTYPROXY_H

#include "base/settings.h"

#include <atomic>
#include <boost/asio.hpp>
#include <memory>
#include <set>
#include <thread>

namespace bronzeshed {

/** Fault that a proxy applies to its connections. */
enum class ProxyFault {
    None,
    Delayed, ///< forwards after a delay
    Silent, ///< forwards no bytes; connections stay open
    OneWay, ///< forwards no bytes to the client
    Reset, ///< resets all connections
    RepeatRefusals, ///< sends the last refusal on a connection once more after the next request
};

/** Loopback TCP proxy that injects faults, on a separate thread. */
class FaultyProxy
{
public:
    explicit FaultyProxy(const Endpoint &target);
    ~FaultyProxy();
    FaultyProxy(const FaultyProxy &) = delete;
    FaultyProxy &operator=(const FaultyProxy &) = delete;

    Endpoint endpoint() const;
    /** Thread-safe. */
    void setFault(ProxyFault newFault);

private:
    struct Connection;

    void accept();
    void forward(const std::shared_ptr<Connection> &connection, bool fromClient);
    void repeatRefusal(const std::shared_ptr<Connection> &connection, std::string request);
    void deliver(const std::shared_ptr<Connection> &connection, bool fromClient, std::string bytes);
    bool discards(bool fromClient) const;
    void close(const std::shared_ptr<Connection> &connection);

    boost::asio::io_context context;
    boost::asio::ip::tcp::endpoint target;
    boost::asio::ip::tcp::acceptor acceptor;
    std::set<std::shared_ptr<Connection>> connections;
    std::atomic<ProxyFault> fault{ProxyFault::None};
    std::thread thread;
};

} // namespace bronzeshed

#endif
