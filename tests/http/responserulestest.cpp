#include "http/connectionpool.h"

#include "rawpeer.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <future>

using namespace bronzeshed;
using namespace std::chrono_literals;

namespace {

std::string answer(const std::string &id, const std::string &body, const std::string &headers = {})
{
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\n" + headers
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

ExchangeResult send(ConnectionPool &pool, const RawServer &server, AttemptId id,
                    const std::string &requestId = "mine")
{
    std::promise<ExchangeResult> promise;
    ResponseRules rules;
    rules.echoHeader = "Id";
    rules.echoValue = requestId;
    rules.acceptCloseDelimited = true;
    pool.send(
        id, server.endpoint(), HttpRequest{}, ConnectionUse::AnyIdle, 5s,
        [&](ExchangeResult end) { promise.set_value(std::move(end)); }, rules);
    return promise.get_future().get();
}

/** Sends a request of a protocol without ids. */
ExchangeResult sendWithoutId(ConnectionPool &pool, const RawServer &server, AttemptId id)
{
    std::promise<ExchangeResult> promise;
    pool.send(id, server.endpoint(), HttpRequest{}, ConnectionUse::AnyIdle, 5s,
              [&](ExchangeResult end) { promise.set_value(std::move(end)); });
    return promise.get_future().get();
}

} // namespace

BOOST_AUTO_TEST_SUITE(response_rules)

// Guards against a caller that receives the response to another request, when a server sends a late
// response on the same connection. Such a connection must not be used again.
BOOST_AUTO_TEST_CASE(a_response_to_another_request_is_skipped)
{
    RawServer server(
        [](std::size_t) { return RawReply{answer("other", "wrong") + answer("mine", "right")}; });
    ConnectionPool pool(ConnectionPoolLimits{});
    for (const std::uint64_t number : {1U, 2U}) {
        const ExchangeResult result = send(pool, server, AttemptId(number));
        BOOST_CHECK(result.status == ExchangeStatus::Answered);
        BOOST_TEST(result.response.body == "right");
    }
    BOOST_TEST(server.requests() == (std::vector<std::size_t>{0, 1}),
               boost::test_tools::per_element());
}

// A probe has no id. Guards against a late copy of its answer that is taken for the answer to the
// next call on the connection.
BOOST_AUTO_TEST_CASE(a_success_without_an_id_does_not_answer_a_call)
{
    RawServer server([](std::size_t) {
        return RawReply{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" + answer("mine", "right")};
    });
    ConnectionPool pool(ConnectionPoolLimits{});
    BOOST_TEST(send(pool, server, AttemptId(1)).response.body == "right");
}

// Guards against a probe that takes the late copy of a call's answer for its own: its real answer
// would then be taken for that of the next call, and a refused probe would repeat a running order.
BOOST_AUTO_TEST_CASE(the_answer_to_a_call_does_not_answer_a_probe)
{
    RawServer server([](std::size_t) {
        return RawReply{answer("other", "wrong")
                        + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"};
    });
    ConnectionPool pool(ConnectionPoolLimits{});
    BOOST_TEST(send(pool, server, AttemptId(1), "").response.body == "ok");
}

// Guards against a late copy of a refusal that refuses the next request on the connection, which
// would be repeated elsewhere although it runs. Refusals carry no id that shows the difference.
BOOST_AUTO_TEST_CASE(a_connection_is_closed_after_a_refusal_without_an_id)
{
    RawServer server(
        [](std::size_t) { return RawReply{"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"}; });
    ConnectionPool pool(ConnectionPoolLimits{});
    for (const std::uint64_t number : {1U, 2U}) {
        BOOST_TEST(send(pool, server, AttemptId(number)).response.status == 503U);
    }
    BOOST_TEST(send(pool, server, AttemptId(3), "").response.status == 503U);
    BOOST_TEST(server.requests() == (std::vector<std::size_t>{0, 1, 2}),
               boost::test_tools::per_element());
}

// A server refuses a request, sends a second copy of the refusal late, and runs the repetition,
// which has the same id. Guards against taking the copy for the answer to the repetition: the
// caller would be told that the request has not run, and would send it again.
BOOST_AUTO_TEST_CASE(a_copy_of_a_refusal_does_not_refuse_the_repetition)
{
    const std::string refusal = "HTTP/1.1 503 Busy\r\nId: mine\r\nContent-Length: 0\r\n\r\n";
    RawServer server([&](std::size_t request) {
        const bool sameConnection = request > 0 && server.requests()[request] == 0;
        if (request == 0) {
            return RawReply{refusal};
        }
        return RawReply{(sameConnection ? refusal : "") + answer("mine", "ran")};
    });
    ConnectionPool pool(ConnectionPoolLimits{});
    BOOST_TEST(send(pool, server, AttemptId(1)).response.status == 503U);
    BOOST_TEST(send(pool, server, AttemptId(2)).response.status == 200U);
}

// A server sends an earlier refusal once more while it runs the next request on the connection.
// Guards against a caller that is told that its request has not run.
BOOST_AUTO_TEST_CASE(a_copy_of_an_earlier_refusal_does_not_refuse_the_next_request)
{
    const std::string refusal = "HTTP/1.1 503 Busy\r\nId: first\r\nContent-Length: 0\r\n\r\n";
    RawServer server([&](std::size_t request) {
        return RawReply{request == 0 ? refusal : refusal + answer("second", "ran")};
    });
    ConnectionPool pool(ConnectionPoolLimits{});
    BOOST_TEST(send(pool, server, AttemptId(1), "first").response.status == 503U);
    const ExchangeResult second = send(pool, server, AttemptId(2), "second");
    BOOST_TEST(second.response.body == "ran");
    BOOST_TEST(server.requests() == (std::vector<std::size_t>{0, 0}),
               boost::test_tools::per_element());
    BOOST_TEST(second.connection.use == 2U);
    BOOST_TEST(second.connection.skippedResponses == 1U);
}

// The protocol has no ids. Guards against a late copy of a refusal that is taken for the answer to
// the next request on the connection, which runs.
BOOST_AUTO_TEST_CASE(a_connection_without_ids_is_closed_after_a_refusal)
{
    const std::string refusal = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
    RawServer server([&](std::size_t request) {
        const bool sameConnection = request > 0 && server.requests()[request] == 0;
        if (request == 0) {
            return RawReply{refusal};
        }
        return RawReply{(sameConnection ? refusal : "") + answer("", "ran")};
    });
    ConnectionPool pool(ConnectionPoolLimits{});
    BOOST_TEST(sendWithoutId(pool, server, AttemptId(1)).response.status == 503U);
    BOOST_TEST(sendWithoutId(pool, server, AttemptId(2)).response.status == 200U);
}

// Guards against a trailer that changes what the header of a complete response has said, such as
// the statement that the request has not run.
BOOST_AUTO_TEST_CASE(a_trailer_does_not_change_a_response)
{
    RawServer server([](std::size_t) {
        return RawReply{"HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n"
                        "2\r\nok\r\n0\r\nNot-Executed: 1\r\n\r\n"};
    });
    ConnectionPool pool(ConnectionPoolLimits{});
    const ExchangeResult result = send(pool, server, AttemptId(1));
    BOOST_TEST(result.response.body == "ok");
    BOOST_TEST(!result.response.headers.find("Not-Executed").has_value());
}

// Guards against a success with an empty or short body when a server stops in the middle of the
// head of its response and closes the connection, whether it is a new or a kept one.
BOOST_AUTO_TEST_CASE(a_response_that_breaks_off_in_its_head_is_no_answer)
{
    const std::string unframed = "HTTP/1.1 200 OK\r\nId: mine\r\n\r\n";
    const std::string framed = answer("mine", "body");
    const std::string empty = answer("mine", "");
    const std::string chunked
        = "HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n";
    for (const std::string &whole : {unframed, framed, empty, chunked}) {
        std::atomic<std::size_t> length{0};
        RawServer server([&](std::size_t request) {
            const bool first = request % 2 == 0;
            return first ? RawReply{answer("mine", "first")}
                         : RawReply{whole.substr(0, length.load()), RawReply::Close};
        });
        const std::size_t end = &whole == &chunked ? whole.size() : whole.size() - 1;
        for (std::size_t cut = 0; cut <= end; ++cut) {
            length.store(cut);
            ConnectionPool pool(ConnectionPoolLimits{});
            send(pool, server, AttemptId(1));
            const ExchangeResult result = send(pool, server, AttemptId(2));
            BOOST_TEST((result.status == ExchangeStatus::Failed),
                       "accepted " << whole.substr(0, cut));
        }
    }
}

// Guards against closing a connection after each refusal, and against one that keeps the ids of
// refused requests without limit while its server is overloaded.
BOOST_AUTO_TEST_CASE(a_connection_is_used_for_other_requests_after_refusals)
{
    constexpr std::size_t Requests = 40;
    const auto id = [](std::size_t request) { return "r" + std::to_string(request); };
    RawServer server([&](std::size_t request) {
        return RawReply{"HTTP/1.1 503 Busy\r\nId: " + id(request)
                        + "\r\nContent-Length: 0\r\n\r\n"};
    });
    ConnectionPool pool(ConnectionPoolLimits{});
    for (std::size_t i = 0; i < Requests; ++i) {
        BOOST_TEST(send(pool, server, AttemptId(i + 1), id(i)).response.status == 503U);
    }
    BOOST_TEST(server.requests()[1] == 0U);
    BOOST_TEST(server.requests().back() == 1U);
}

// Guards against a caller that waits indefinitely when a server sends only responses to other
// requests.
BOOST_AUTO_TEST_CASE(too_many_stray_responses_fail_the_exchange)
{
    RawServer server([](std::size_t) {
        const std::string stray = answer("other", "wrong");
        return RawReply{stray + stray + stray + stray};
    });
    ConnectionPool pool(ConnectionPoolLimits{});
    BOOST_CHECK(send(pool, server, AttemptId(1)).status == ExchangeStatus::Failed);
}

// Guards against rejecting a complete response that ends with its connection, and against accepting
// a truncated one, when a server closes the connection before it has sent the announced length.
BOOST_AUTO_TEST_CASE(a_response_may_end_with_its_connection)
{
    RawServer unframed([](std::size_t) {
        return RawReply{"HTTP/1.1 200 OK\r\nId: mine\r\n\r\nall of it", RawReply::Close};
    });
    ConnectionPool pool(ConnectionPoolLimits{});
    const ExchangeResult complete = send(pool, unframed, AttemptId(1));
    BOOST_CHECK(complete.status == ExchangeStatus::Answered);
    BOOST_TEST(complete.response.body == "all of it");
    RawServer truncated([](std::size_t) {
        return RawReply{"HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 99\r\n\r\npart",
                        RawReply::Close};
    });
    BOOST_CHECK(send(pool, truncated, AttemptId(2)).status == ExchangeStatus::Failed);
}

// Guards against sending a request on a connection that the server is about to close, after its
// Keep-Alive header announced the timeout.
BOOST_AUTO_TEST_CASE(a_connection_is_not_used_beyond_its_keep_alive_timeout)
{
    RawServer server(
        [](std::size_t) { return RawReply{answer("mine", "x", "Keep-Alive: timeout=1\r\n")}; });
    ConnectionPool pool(ConnectionPoolLimits{});
    send(pool, server, AttemptId(1));
    send(pool, server, AttemptId(2));
    BOOST_TEST(server.requests() == (std::vector<std::size_t>{0, 1}),
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
