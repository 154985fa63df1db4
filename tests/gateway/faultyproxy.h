#ifndef BRONZESHED_TESTS_FAULTYPROXY_H
#define BRONZESHED_TESTS_FAULTYPROXY_H

#include "base/settings.h"

#include <atomic>
#include <boost/asio.hpp>
#include <memory>
#include <set>
#include <thread>

namespace bronzeshed {

/** What a proxy does to the bytes on its connections. */
enum class ProxyFault {
    None,
    Delayed, ///< forwards after a delay
    Silent, ///< forwards nothing; connections stay open
    OneWay, ///< forwards nothing back to the client
    Reset, ///< resets all connections
};

/** Loopback TCP proxy with faults, on a thread of its own. */
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
    struct Link;

    void accept();
    void forward(const std::shared_ptr<Link> &link, bool fromClient);
    void pass(const std::shared_ptr<Link> &link, bool fromClient, std::string bytes);
    bool holds(bool fromClient) const;
    void close(const std::shared_ptr<Link> &link);

    boost::asio::io_context context;
    boost::asio::ip::tcp::endpoint target;
    boost::asio::ip::tcp::acceptor acceptor;
    std::set<std::shared_ptr<Link>> links;
    std::atomic<ProxyFault> fault{ProxyFault::None};
    std::thread thread;
};

} // namespace bronzeshed

#endif
