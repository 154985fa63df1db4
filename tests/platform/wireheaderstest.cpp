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

HttpHeaders signedHeaders()
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
    HttpHeaders headers = signedHeaders();
    headers.add("X-Bronzeshed-Server-Load", value);
    return PlatformUpstreamProtocol().readAttempt(answered(200, headers)).load;
}

} // namespace

BOOST_AUTO_TEST_SUITE(wire_headers)

// Guards against a request that is run twice or wrongly reported as not run: an error status
// without the Not-Executed header, other than 421, does not show whether the upstream ran the
// request.
BOOST_AUTO_TEST_CASE(not_run_requires_an_explicit_refusal)
{
    HttpHeaders notExecuted;
    notExecuted.add("X-Bronzeshed-Not-Executed", "1");
    for (const unsigned status : {503U, 429U, 400U}) {
        BOOST_CHECK(statusOf(answered(status, notExecuted)) == AttemptStatus::NotStarted);
    }
    for (const unsigned status : {503U, 429U, 408U}) {
        BOOST_CHECK(statusOf(answered(status, signedHeaders())) == AttemptStatus::Failed);
    }
    const AttemptReport misdirected = PlatformUpstreamProtocol().readAttempt(answered(421));
    BOOST_CHECK(misdirected.status == AttemptStatus::NotStarted);
    BOOST_TEST(misdirected.draining);
}

// Guards against a success that is taken for a refusal, so that a request which has run is repeated
// or reported as not run: the response contradicts itself.
BOOST_AUTO_TEST_CASE(a_success_is_no_refusal)
{
    HttpHeaders contradictory = signedHeaders();
    contradictory.add("X-Bronzeshed-Not-Executed", "1");
    for (const unsigned status : {200U, 204U, 500U}) {
        BOOST_CHECK(statusOf(answered(status, contradictory)) == AttemptStatus::Failed);
    }
}

// Guards against the copy of an earlier refusal that is taken for the refusal of a request that
// runs: without an id, it can be told from one only on a connection without earlier requests.
BOOST_AUTO_TEST_CASE(a_refusal_on_a_kept_connection_needs_the_id)
{
    HttpHeaders anonymous;
    anonymous.add("X-Bronzeshed-Not-Executed", "1");
    HttpHeaders identified = anonymous;
    identified.add("X-Bronzeshed-Request-Id", "id");
    for (const unsigned status : {503U, 429U, 421U, 400U}) {
        ExchangeResult result = answered(status, anonymous);
        result.connection.use = 1;
        BOOST_CHECK(statusOf(result) == AttemptStatus::NotStarted);
        result.connection.use = 2;
        BOOST_CHECK(statusOf(result) == AttemptStatus::Failed);
        result.response.headers = identified;
        BOOST_CHECK(statusOf(result) == AttemptStatus::NotStarted);
    }
}

// Guards against forwarding a corrupted success to a caller: the response lacks the upstream's
// signature or has a content encoding that was not requested.
BOOST_AUTO_TEST_CASE(a_success_requires_the_signature)
{
    BOOST_CHECK(statusOf(answered(200, signedHeaders())) == AttemptStatus::Answered);
    BOOST_CHECK(statusOf(answered(200)) == AttemptStatus::Failed);
    HttpHeaders encoded = signedHeaders();
    encoded.add("Content-Encoding", "gzip");
    BOOST_CHECK(statusOf(answered(200, encoded)) == AttemptStatus::Failed);
    BOOST_CHECK(statusOf(answered(500, signedHeaders())) == AttemptStatus::Answered);
}

// Guards against load values that are read in the wrong order or accepted from a malformed load
// header.
BOOST_AUTO_TEST_CASE(the_load_is_decoded)
{
    BOOST_CHECK((loadOf("3,1,8") == LoadReport{3, 1, 8, 100}));
    BOOST_CHECK((loadOf("3,1,8,400") == LoadReport{3, 1, 8, 400}));
    BOOST_CHECK((loadOf("3,1,8,400,9") == LoadReport{3, 1, 8, 400}));
    for (const char *malformed : {"", "3", "3,1", "3,,8", "a,b,c", "-1,0,2"}) {
        BOOST_CHECK(!loadOf(malformed));
    }
}

// Guards against a load probe that is attributed to the wrong upstream after another instance took
// over the address.
BOOST_AUTO_TEST_CASE(a_load_probe_checks_the_upstream_id)
{
    HttpHeaders headers;
    headers.add("X-Bronzeshed-Instance-Id", "a");
    headers.add("X-Bronzeshed-Server-Load", "0,0,2");
    const PlatformUpstreamProtocol protocol;
    BOOST_TEST(protocol.readProbe(UpstreamId("a"), answered(200, headers)).has_value());
    BOOST_TEST(!protocol.readProbe(UpstreamId("b"), answered(200, headers)).has_value());
    BOOST_TEST(!protocol.readProbe(UpstreamId("a"), answered(503, headers)).has_value());
}

// Guards against an upstream that works past the caller's deadline, or that runs a request meant
// for another upstream, because a forwarded request keeps the caller's header or lacks the
// upstream's id.
BOOST_AUTO_TEST_CASE(an_attempt_carries_upstream_id_and_time_left)
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
