#include "http/connectionpool.h"

#include "rawpeer.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <future>
#include <latch>

using namespace bronzeshed;

namespace {

constexpr std::chrono::seconds LongTimeout{60};
/** Long enough for a request to arrive on a busy instance. */
constexpr std::chrono::milliseconds ShortTimeout{500};

std::string answer(const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

class Client
{
public:
    explicit Client(const ConnectionPoolLimits &limits = {})
        : pool(limits)
    {
    }

    std::future<ExchangeResult> start(const RawServer &server, Duration timeout,
                                      ConnectionUse use = ConnectionUse::AnyIdle)
    {
        auto promise = std::make_shared<std::promise<ExchangeResult>>();
        auto result = promise->get_future();
        this->last = this->last.next();
        this->pool.send(this->last, server.endpoint(), HttpRequest{}, use, timeout,
                        [promise](ExchangeResult end) { promise->set_value(std::move(end)); });
        return result;
    }
    ExchangeResult send(const RawServer &server, Duration timeout = LongTimeout,
                        ConnectionUse use = ConnectionUse::AnyIdle)
    {
        return this->start(server, timeout, use).get();
    }

    ConnectionPool pool;
    AttemptId last;
};

} // namespace

BOOST_AUTO_TEST_SUITE(connection_pool)

// Guards against accepting a response that is truncated, malformed, too large or without a clear
// end, as a server sends that fails while it responds. Also guards against sending the request
// again after such a response, which could run it twice.
BOOST_AUTO_TEST_CASE(rejects_incomplete_responses)
{
    const std::string status = "HTTP/1.1 200 OK\r\n";
    for (const std::string &bytes :
         {std::string(), status.substr(0, 8), status + "Content-Length: 9\r\n\r\nshort",
          status + "\r\nno length", status + "Content-Length: 2000000\r\n\r\nx",
          status + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
          status + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
          status + "Transfer-Encoding: chunked\r\n\r\n5\r\nshort", std::string("nonsense\r\n\r\n"),
          status + "X: " + std::string(100000, 'x') + "\r\n\r\n",
          std::string("HTTP/1.1 101 Switching Protocols\r\n\r\n")}) {
        RawServer server([&](std::size_t) { return RawReply{bytes, RawReply::Close}; });
        Client client;
        BOOST_CHECK(client.send(server).status == ExchangeStatus::Failed);
        BOOST_TEST(server.requests().size() == 1U, bytes.substr(0, 80));
    }
}

// Guards against an exchange that waits until its deadline because a response has neither a length
// nor chunks and the server keeps the connection open.
BOOST_AUTO_TEST_CASE(rejects_an_unframed_response_at_its_header)
{
    RawServer server([](std::size_t) {
        return RawReply{"HTTP/1.1 200 OK\r\n\r\n", RawReply::AwaitClose};
    });
    Client client;
    BOOST_CHECK(client.send(server).status == ExchangeStatus::Failed);
}

// Guards against a response that is treated as the response of the next request. This happens if a
// server sends extra bytes after a response and the connection is used again.
BOOST_AUTO_TEST_CASE(never_reuses_a_connection_with_extra_bytes)
{
    RawServer server([](std::size_t request) {
        return request == 0 ? RawReply{answer("first") + answer("again"), RawReply::AwaitClose}
                            : RawReply{answer("second"), RawReply::Keep};
    });
    Client client;
    BOOST_TEST(client.send(server).response.body == "first");
    BOOST_TEST(client.send(server).response.body == "second");
}

// Guards against a late response that is treated as the response of a later request. This happens
// if the connection of a request that timed out is used again.
BOOST_AUTO_TEST_CASE(never_reuses_a_connection_that_timed_out)
{
    std::promise<void> release;
    RawServer server([&](std::size_t request) {
        if (request == 0) {
            release.get_future().wait();
            return RawReply{answer("late"), RawReply::Keep};
        }
        return RawReply{answer("second"), RawReply::Keep};
    });
    Client client;
    const auto first = client.send(server, ShortTimeout);
    const auto second = client.send(server);
    release.set_value();
    const auto third = client.send(server);
    BOOST_CHECK(first.status == ExchangeStatus::TimedOut);
    BOOST_TEST(second.response.body == "second");
    BOOST_TEST(third.response.body == "second");
    BOOST_CHECK((server.requests() == std::vector<std::size_t>{0, 1, 1}));
}

// Guards against an interim response that is treated as the final one, when a server sends
// 100 Continue or 103 Early Hints first.
BOOST_AUTO_TEST_CASE(skips_interim_responses)
{
    RawServer server([](std::size_t) {
        return RawReply{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
                            + answer("final"),
                        RawReply::Keep};
    });
    Client client;
    const auto result = client.send(server);
    BOOST_TEST(result.response.status == 200U);
    BOOST_TEST(result.response.body == "final");
}

// Guards against sending a non-idempotent request on an idle connection that was dropped silently,
// after which it is unknown whether the request ran.
BOOST_AUTO_TEST_CASE(recent_use_excludes_old_idle_connections)
{
    RawServer server([](std::size_t) { return RawReply{answer("x"), RawReply::Keep}; });
    ConnectionPoolLimits limits;
    limits.recentUse = std::chrono::milliseconds(0);
    Client client(limits);
    client.send(server);
    client.send(server, LongTimeout, ConnectionUse::AnyIdle);
    client.send(server, LongTimeout, ConnectionUse::RecentlyUsed);
    BOOST_CHECK((server.requests() == std::vector<std::size_t>{0, 0, 1}));
}

// Guards against a timeout on one idle connection after another when a server or the path to it
// stops responding. After two timeouts, the next request uses a new connection.
BOOST_AUTO_TEST_CASE(two_timeouts_close_the_idle_connections)
{
    std::latch allReceived(3);
    std::atomic<bool> silent{false};
    RawServer server([&](std::size_t request) {
        if (request < 3) {
            allReceived.arrive_and_wait();
        }
        return silent ? RawReply{"", RawReply::AwaitClose} : RawReply{answer("x"), RawReply::Keep};
    });
    Client client;
    std::array<std::future<ExchangeResult>, 3> first;
    for (auto &result : first) {
        result = client.start(server, LongTimeout);
    }
    for (auto &result : first) {
        result.wait();
    }
    silent = true;
    client.send(server, ShortTimeout);
    client.send(server, ShortTimeout);
    silent = false;
    BOOST_CHECK(client.send(server).status == ExchangeStatus::Answered);
    BOOST_TEST(server.requests().back() == 3U);
}

// Guards against reporting NotSent although a byte of the request may have been written. A request
// cancelled after sending is reported as Cancelled, one that expired before it as NotSent.
BOOST_AUTO_TEST_CASE(distinguishes_unsent_from_cancelled_requests)
{
    RawServer server([](std::size_t) { return RawReply{"", RawReply::AwaitClose}; });
    Client client;
    auto cancelled = client.start(server, LongTimeout);
    while (server.requests().empty()) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    client.pool.cancel(client.last);
    BOOST_CHECK(cancelled.get().status == ExchangeStatus::Cancelled);
    BOOST_CHECK(client.send(server, Duration::zero()).status == ExchangeStatus::NotSent);
    BOOST_TEST(server.requests().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
