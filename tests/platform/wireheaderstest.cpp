#include "platform/wireheaders.h"

#include <boost/test/unit_test.hpp>

using namespace bronzeshed;
using namespace std::chrono_literals;

namespace {

ExchangeResult answered(unsigned status, const HttpHeaders &headers = {})
{
    ExchangeResult result;
    result.status = ExchangeStatus::Answered;
    result.response.status = status;
    result.response.headers = headers;
    return result;
}

HttpHeaders proven()
{
    HttpHeaders headers;
    headers.add("X-Bronzeshed-Request-Id", "id");
    headers.add("X-Bronzeshed-Server-Signature", "proof");
    return headers;
}

AttemptStatus statusOf(const ExchangeResult &result)
{
    return PlatformUpstreamProtocol().readAttempt(result).status;
}

std::optional<LoadReport> loadOf(const char *value)
{
    HttpHeaders headers = proven();
    headers.add("X-Bronzeshed-Server-Load", value);
    return PlatformUpstreamProtocol().readAttempt(answered(200, headers)).load;
}

} // namespace

BOOST_AUTO_TEST_SUITE(wire_headers)

// Guards against an order that is repeated, or said not to have run, on the word of a response
// that does not say so.
BOOST_AUTO_TEST_CASE(only_a_stated_refusal_means_not_run)
{
    HttpHeaders stated;
    stated.add("X-Bronzeshed-Not-Executed", "1");
    for (const unsigned status : {503U, 429U, 400U}) {
        BOOST_CHECK(statusOf(answered(status, stated)) == AttemptStatus::NotStarted);
    }
    for (const unsigned status : {503U, 429U, 408U}) {
        BOOST_CHECK(statusOf(answered(status, proven())) == AttemptStatus::Failed);
    }
    const AttemptReport misdirected = PlatformUpstreamProtocol().readAttempt(answered(421));
    BOOST_CHECK(misdirected.status == AttemptStatus::NotStarted);
    BOOST_TEST(misdirected.draining);
}

// Guards against callers that get a spoiled success.
BOOST_AUTO_TEST_CASE(a_success_needs_its_proof)
{
    BOOST_CHECK(statusOf(answered(200, proven())) == AttemptStatus::Answered);
    BOOST_CHECK(statusOf(answered(200)) == AttemptStatus::Failed);
    HttpHeaders encoded = proven();
    encoded.add("Content-Encoding", "gzip");
    BOOST_CHECK(statusOf(answered(200, encoded)) == AttemptStatus::Failed);
    BOOST_CHECK(statusOf(answered(500, proven())) == AttemptStatus::Answered);
}

// Guards against load figures that are read in another order, or taken from a malformed header.
BOOST_AUTO_TEST_CASE(the_load_is_decoded)
{
    BOOST_CHECK((loadOf("3,1,8") == LoadReport{3, 1, 8, 100}));
    BOOST_CHECK((loadOf("3,1,8,400") == LoadReport{3, 1, 8, 400}));
    BOOST_CHECK((loadOf("3,1,8,400,9") == LoadReport{3, 1, 8, 400}));
    for (const char *bad : {"", "3", "3,1", "3,,8", "a,b,c", "-1,0,2"}) {
        BOOST_CHECK(!loadOf(bad));
    }
}

// Guards against a load that another server at the address reports.
BOOST_AUTO_TEST_CASE(a_load_query_names_its_upstream)
{
    HttpHeaders headers;
    headers.add("X-Bronzeshed-Instance-Id", "a");
    headers.add("X-Bronzeshed-Server-Load", "0,0,2");
    const PlatformUpstreamProtocol protocol;
    BOOST_TEST(protocol.readProbe(UpstreamId("a"), answered(200, headers)).has_value());
    BOOST_TEST(!protocol.readProbe(UpstreamId("b"), answered(200, headers)).has_value());
    BOOST_TEST(!protocol.readProbe(UpstreamId("a"), answered(503, headers)).has_value());
}

// Guards against upstreams that get more time than is left, or requests meant for another one.
BOOST_AUTO_TEST_CASE(an_attempt_names_its_upstream_and_time)
{
    HttpRequest request;
    request.headers.add("Host", "h.example");
    request.headers.add("X-Bronzeshed-Request-Id", "id");
    request.headers.add("X-Bronzeshed-Request-Deadline-Ms", "800");
    const CallerHeaders caller = readCallerHeaders(request);
    BOOST_TEST(caller.requestId.value() == "id");
    BOOST_CHECK(caller.timeLeft == 800ms);
    addAttemptHeaders(request, UpstreamId("a"), 123ms);
    BOOST_TEST(*request.headers.find("X-Bronzeshed-Request-Deadline-Ms") == "123");
    BOOST_TEST(request.headers.count("X-Bronzeshed-Request-Deadline-Ms") == 1U);
    BOOST_TEST(*request.headers.find("X-Bronzeshed-Expected-Instance") == "a");
    BOOST_TEST(*request.headers.find("X-Bronzeshed-Request-Id") == "id");
    BOOST_TEST(request.authority == "h.example");
    HttpResponse refusal;
    addRetryAfter(refusal, 50ms);
    BOOST_TEST(*refusal.headers.find("Retry-After") == "0.050");
}

BOOST_AUTO_TEST_SUITE_END()
