#include "http/beastmessage.h"

#include <boost/test/unit_test.hpp>

using namespace bronzeshed;

BOOST_AUTO_TEST_SUITE(beast_message)

// Guards against a forwarded request whose length or connection headers are copied from the
// caller's request. The upstream would then parse body bytes as the next request. Also guards
// against a Host header that is copied from the caller.
BOOST_AUTO_TEST_CASE(request_states_its_own_framing)
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/a?b";
    request.headers.add("Content-Length", "9");
    request.headers.add("transfer-encoding", "chunked");
    request.headers.add("host", "caller");
    request.headers.add("X", "y");
    request.body = "abc";
    const std::string start = "POST /a?b HTTP/1.1\r\nHost: h:1\r\nX: y\r\n";
    BOOST_TEST(formatRequest(request, "h:1", true) == start + "Content-Length: 3\r\n\r\nabc");
    request.body.clear();
    BOOST_TEST(formatRequest(request, "h:1", false)
               == start + "Connection: close\r\nContent-Length: 0\r\n\r\n");
    request.method = "GET";
    BOOST_TEST(formatRequest(request, "h:1", true).find("Content-Length") == std::string::npos);
}

// Guards against body bytes that the client parses as the next response. This happens if a body
// follows the header in the response to a HEAD request or in a 304 response.
BOOST_AUTO_TEST_CASE(response_states_its_own_framing)
{
    HttpResponse response;
    response.headers.add("Connection", "keep-alive");
    response.headers.add("X", "y");
    response.body = "abc";
    const std::string start = "HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 3\r\n\r\n";
    BOOST_TEST(formatResponse(response, true, false) == start + "abc");
    BOOST_TEST(formatResponse(response, true, true) == start);
    response.status = 304;
    BOOST_TEST(formatResponse(response, true, false).ends_with("Content-Length: 0\r\n\r\n"));
}

BOOST_AUTO_TEST_SUITE_END()
