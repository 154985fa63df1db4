#include "requests/requestidentity.h"
#include "requests/periodclock.h"

#include <boost/test/unit_test.hpp>

using namespace bronzeshed;

BOOST_AUTO_TEST_SUITE(request_identity)

// Guards against two spellings of one id, which would create two records and let the request run
// twice. This happens if the parser accepts leading zeros, signs, spaces, parts of wrong length, or
// keeps the case of hex digits.
BOOST_AUTO_TEST_CASE(rejects_malformed_ids)
{
    const std::string nonce(16, 'a');
    const std::string incarnation = "0123456789abcdef";
    for (const std::string &text :
         {std::string(), incarnation, incarnation + "-0", incarnation + "--" + nonce,
          incarnation + "-00-" + nonce, incarnation + "-01-" + nonce, incarnation + "-+1-" + nonce,
          incarnation + "-1 -" + nonce, incarnation + "-12345678901-" + nonce,
          incarnation + "-1-" + nonce.substr(1), incarnation + "-1-" + std::string(65, 'a'),
          incarnation + "-1-" + nonce + "g", incarnation + "-1-" + nonce + "-",
          incarnation + "-1-" + nonce + " ", incarnation.substr(1) + "-1-" + nonce,
          "0" + incarnation + "-1-" + nonce, "x" + incarnation.substr(1) + "-1-" + nonce}) {
        BOOST_TEST(!parseRequestIdentity(RequestId(text)).has_value(), text);
    }
    const auto upper
        = parseRequestIdentity(RequestId("0123456789ABCDEF-7-" + std::string(16, 'A')));
    BOOST_REQUIRE(upper.has_value());
    BOOST_TEST(upper->period == 7U);
    BOOST_TEST(upper->toId().value() == incarnation + "-7-" + nonce);
}

// Guards against a reused id that is treated as a repeat because two different requests have the
// same digest. This happens if the digest ignores where one part ends, or ignores an empty or a
// trailing part.
BOOST_AUTO_TEST_CASE(digest_depends_on_every_part)
{
    const auto digest = digestOf({"ab", "c", "0123456789"});
    BOOST_TEST(digest == digestOf({"ab", "c", "0123456789"}));
    BOOST_TEST(digest != digestOf({"a", "bc", "0123456789"}));
    BOOST_TEST(digest != digestOf({"ab", "c", "0123456780"}));
    BOOST_TEST(digest != digestOf({"ab", "c", "0123456789", ""}));
    BOOST_TEST(digestOf({std::string_view("\0", 1)}) != digestOf({""}));
}

// Guards against a record that is dropped while its id is still accepted, so that a repeat would
// run again, and against ids of future periods. The clock stands just before the end of period 11.
BOOST_AUTO_TEST_CASE(accepts_ten_past_periods_and_one_future_period)
{
    ManualClock clock;
    const PeriodClock periods(clock, clock.now());
    clock.advance(PeriodClock::Length * 12 - std::chrono::nanoseconds(1));
    BOOST_TEST(periods.current() == 11U);
    BOOST_CHECK(periods.check(13) == PeriodCheck::InFuture);
    BOOST_CHECK(periods.check(12) == PeriodCheck::Acceptable);
    BOOST_CHECK(periods.check(1) == PeriodCheck::Acceptable);
    BOOST_CHECK(periods.check(0) == PeriodCheck::Expired);
}

BOOST_AUTO_TEST_SUITE_END()
