#include "../http/rawpeer.h"
#include "gatewaydeployment.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <thread>

using namespace bronzeshed;
using namespace std::chrono_literals;

namespace {

/** Caller that sends orders on one connection until the gateway closes it, then on the next one. */
class KeptConnectionCaller
{
public:
    KeptConnectionCaller(const Endpoint &gateway, std::string name, std::atomic<bool> &stopping)
        : gateway(gateway)
        , name(std::move(name))
        , stopping(stopping)
        , thread([this] { this->run(); })
    {
    }
    ~KeptConnectionCaller() { this->join(); }
    KeptConnectionCaller(const KeptConnectionCaller &) = delete;
    KeptConnectionCaller &operator=(const KeptConnectionCaller &) = delete;

    void join()
    {
        if (this->thread.joinable()) {
            this->thread.join();
        }
    }

    std::vector<std::string> unanswered; ///< orders without a complete response
    unsigned answered = 0;

private:
    void run()
    {
        unsigned number = 0;
        while (!this->stopping.load()) {
            try {
                RawConnection connection(this->gateway);
                while (!this->stopping.load()
                       && this->sendOrder(connection, this->name + std::to_string(++number))) { }
            } catch (const boost::system::system_error &) {
                // The gateway has ended.
                std::this_thread::sleep_for(20ms);
            }
        }
    }

    /** @return whether the connection may be used again */
    bool sendOrder(RawConnection &connection, const std::string &id)
    {
        connection.send(
            "POST /orders/a HTTP/1.1\r\nHost: h.example\r\nX-Bronzeshed-Request-Id: " + id
            + "\r\nX-Bronzeshed-Request-Deadline-Ms: 1900\r\nContent-Length: 0\r\n\r\n");
        const std::string head = connection.receiveUntil("\r\n\r\n");
        if (!head.ends_with("\r\n\r\n")) {
            this->unanswered.push_back(id);
            return false;
        }
        if (head.starts_with("HTTP/1.1 503")) {
            return false;
        }
        const std::string body = RegisteredUpstream::responseBody(id);
        if (connection.receiveUntil(body) != body) {
            this->unanswered.push_back(id);
            return false;
        }
        ++this->answered;
        return head.find("Connection: close") == std::string::npos;
    }

    Endpoint gateway;
    std::string name;
    std::atomic<bool> &stopping;
    std::thread thread;
};

} // namespace

BOOST_AUTO_TEST_SUITE(planned_stop)

// Orders of 1.2 s arrive, on open and on new connections, until a stopping instance has ended; its
// grace is 4 s. Guards against an order that is taken so late that it is cut off while it runs.
BOOST_AUTO_TEST_CASE(orders_that_come_late_in_the_grace_are_answered_or_do_not_run)
{
    constexpr unsigned Callers = 8;
    GatewayDeployment deployment(2, 2);
    for (const auto &upstream : deployment.upstreams) {
        upstream->setServiceTime(1200ms);
    }
    std::atomic<bool> stopping{false};
    std::vector<std::unique_ptr<KeptConnectionCaller>> callers;
    for (unsigned i = 0; i < Callers; ++i) {
        callers.push_back(std::make_unique<KeptConnectionCaller>(
            deployment.gateways[0].callers, std::to_string(i) + "-", stopping));
        std::this_thread::sleep_for(130ms);
    }
    deployment.gateways[0].process->signal(SIGTERM);
    const std::optional<int> exitCode = deployment.gateways[0].process->waitForExit(6s);
    BOOST_TEST((exitCode == 0), "exit code " << exitCode.value_or(-1));
    stopping.store(true);
    unsigned answered = 0;
    for (const auto &caller : callers) {
        caller->join();
        answered += caller->answered;
    }
    BOOST_TEST(answered > 0U);
    std::this_thread::sleep_for(1500ms); // until late executions are counted
    for (const auto &caller : callers) {
        for (const std::string &id : caller->unanswered) {
            BOOST_TEST(deployment.executions.count(id) == 0U, id);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
