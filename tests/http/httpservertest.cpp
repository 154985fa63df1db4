#include "http/httpserver.h"

#include "rawpeer.h"

#include <boost/test/unit_test.hpp>
#include <future>
#include <thread>

using namespace bronzeshed;

namespace {

/** Echoes the target and the body; keeps the exchange of /hold. */
class EchoHandler : public HttpHandler
{
public:
    void handleRequest(HttpRequest request, std::shared_ptr<HttpExchange> exchange) override
    {
        ++this->handled;
        if (request.target == "/hold") {
            this->held.set_value(std::move(exchange));
        } else {
            exchange->respond(makeTextResponse(200, request.target + "=" + request.body));
        }
    }

    std::atomic<unsigned> handled{0};
    std::promise<std::shared_ptr<HttpExchange>> held;
};

struct Fixture
{
    static HttpLimits limits()
    {
        HttpLimits limits;
        limits.connections = 2;
        return limits;
    }

    /** All the server says to @p bytes until it closes. */
    std::string exchange(const std::string &bytes) { return exchange(this->server, bytes); }
    static std::string exchange(const HttpServer &server, const std::string &bytes)
    {
        RawConnection connection(server.localEndpoint());
        connection.send(bytes);
        return connection.receiveAll();
    }

    EchoHandler handler;
    HttpServer server{{"127.0.0.1", 0}, limits(), this->handler};
};

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

const std::string Post = "POST / HTTP/1.1\r\nHost: a\r\n";

} // namespace

BOOST_FIXTURE_TEST_SUITE(http_server, Fixture)

// Guards against requests whose end or meaning is in doubt: the bytes after them could be taken for
// another request. The connection must close.
BOOST_AUTO_TEST_CASE(refuses_contradictory_requests)
{
    for (const char *headers :
         {"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", "Transfer-Encoding: gzip\r\n",
          "Transfer-Encoding: gzip, chunked\r\n", "Content-Length: 3\r\nContent-Length: 3\r\n",
          "Content-Length: 3\r\nContent-Length: 4\r\n", "Content-Length: -1\r\n", "Host: b\r\n",
          "Bronzeshed-Class: x\r\nbronzeshed-class: y\r\n", "no colon\r\n",
          "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"}) {
        const std::string answer = this->exchange(Post + headers + "\r\nGET /2 HTTP/1.1\r\n\r\n");
        BOOST_TEST(answer.starts_with("HTTP/1.1 400"), headers << answer);
        BOOST_TEST(contains(answer, "Connection: close"), headers);
    }
    BOOST_TEST(this->handler.handled.load() == 0U);
}

// Guards against clients that make the server hold more than its limits.
BOOST_AUTO_TEST_CASE(refuses_oversized_requests)
{
    const std::string large(17000, 'x');
    BOOST_TEST(this->exchange(Post + "X: " + large + "\r\n\r\n").starts_with("HTTP/1.1 431"));
    const std::string length = "Content-Length: 1048577\r\n\r\n";
    BOOST_TEST(this->exchange(Post + length).starts_with("HTTP/1.1 413"));
    BOOST_TEST(this->handler.handled.load() == 0U);
}

// Guards against slow clients that hold connections for ever. Ends only if the server closes.
BOOST_AUTO_TEST_CASE(closes_slow_connections)
{
    HttpLimits shortLimits;
    shortLimits.headerTimeout = std::chrono::milliseconds(50);
    shortLimits.requestTimeout = std::chrono::milliseconds(100);
    HttpServer impatient({"127.0.0.1", 0}, shortLimits, this->handler);
    BOOST_TEST(contains(exchange(impatient, "GET / HT"), " 408 "));
    BOOST_TEST(contains(exchange(impatient, Post + "Content-Length: 5\r\n\r\nab"), " 408 "));
    BOOST_TEST(this->handler.handled.load() == 0U);
}

// Guards P2 with several requests on their way on one connection.
BOOST_AUTO_TEST_CASE(answers_pipelined_requests_in_order)
{
    const std::string answers
        = this->exchange("GET /1 HTTP/1.1\r\n\r\n" + Post + "Content-Length: 2\r\n\r\nab"
                         + "GET /3 HTTP/1.1\r\nConnection: close\r\n\r\n");
    const auto first = answers.find("/1=");
    const auto second = answers.find("/=ab");
    const auto third = answers.find("/3=");
    BOOST_TEST((first < second && second < third && third != std::string::npos), answers);
}

// Guards P2: a connection closed while the handler has a request and another one is behind it.
BOOST_AUTO_TEST_CASE(keeps_a_held_request_with_another_behind_it)
{
    RawConnection client(this->server.localEndpoint());
    client.send("GET /hold HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\nConnection: close\r\n\r\n");
    const auto exchange = this->handler.held.get_future().get();
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    exchange->respond(makeTextResponse(200, "held"));
    const std::string answers = client.receiveAll();
    BOOST_TEST((contains(answers, "held") && contains(answers, "/2=")), answers);
}

// Guards P6: a drain that cuts off the request in flight, or leaves the connection open after it.
BOOST_AUTO_TEST_CASE(drains_without_cutting_off)
{
    RawConnection inFlight(this->server.localEndpoint());
    RawConnection idle(this->server.localEndpoint());
    idle.send("GET /1 HTTP/1.1\r\n\r\n");
    BOOST_TEST(!contains(idle.receiveUntil("/1="), "Connection: close"));
    inFlight.send("GET /hold HTTP/1.1\r\n\r\n");
    const auto exchange = this->handler.held.get_future().get();
    this->server.startDraining();
    BOOST_TEST(this->server.pendingRequests() == 1U);
    idle.send("GET /2 HTTP/1.1\r\n\r\n");
    BOOST_TEST(contains(idle.receiveAll(), "Connection: close"));
    exchange->respond(makeTextResponse(200, "held"));
    const std::string answer = inFlight.receiveAll();
    BOOST_TEST(contains(answer, "Connection: close"));
    BOOST_TEST(answer.ends_with("held"));
}

// Guards against work for callers that left, also on a connection that served a request before.
BOOST_AUTO_TEST_CASE(reports_clients_that_left)
{
    RawConnection client(this->server.localEndpoint());
    client.send("GET /1 HTTP/1.1\r\n\r\n");
    client.receiveUntil("/1=");
    client.send("GET /hold HTTP/1.1\r\n\r\n");
    const auto exchange = this->handler.held.get_future().get();
    std::promise<void> gone;
    exchange->onClientGone([&gone] { gone.set_value(); });
    client.close();
    BOOST_CHECK(gone.get_future().wait_for(std::chrono::seconds(60)) == std::future_status::ready);
}

// Guards against more connections than the limit.
BOOST_AUTO_TEST_CASE(bounds_the_connections)
{
    RawConnection first(this->server.localEndpoint());
    RawConnection second(this->server.localEndpoint());
    for (RawConnection *connection : {&first, &second}) {
        connection->send("GET /1 HTTP/1.1\r\n\r\n");
        connection->receiveUntil("/1=");
    }
    BOOST_TEST(this->exchange("GET /1 HTTP/1.1\r\n\r\n").empty());
}

BOOST_AUTO_TEST_SUITE_END()
