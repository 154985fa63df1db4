#include "requests/requestidentity.h"
#include "requests/periodclock.h"

#include <boost/test/unit_test.hpp>

using namespace bronzeshed;

BOOST_AUTO_TEST_SUITE(request_identity)

// Guards against two texts of one id, which would be two records and could run twice.
BOOST_AUTO_TEST_CASE(rejects_all_but_the_exact_form)
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

// Guards against parts that run into each other or are left out of the digest.
BOOST_AUTO_TEST_CASE(digest_depends_on_every_part)
{
    const auto digest = digestOf({"ab", "c", "0123456789"});
    BOOST_TEST(digest == digestOf({"ab", "c", "0123456789"}));
    BOOST_TEST(digest != digestOf({"a", "bc", "0123456789"}));
    BOOST_TEST(digest != digestOf({"ab", "c", "0123456780"}));
    BOOST_TEST(digest != digestOf({"ab", "c", "0123456789", ""}));
    BOOST_TEST(digestOf({std::string_view("\0", 1)}) != digestOf({""}));
}

// Guards against dropping records while their ids are still accepted, and against ids of the
// future.
BOOST_AUTO_TEST_CASE(accepts_ten_old_periods_and_one_ahead)
{
    ManualClock clock;
    const PeriodClock periods(clock, clock.now());
    clock.advance(PeriodClock::Length * 12 - std::chrono::nanoseconds(1));
    BOOST_TEST(periods.current() == 11U);
    BOOST_CHECK(periods.check(13) == PeriodCheck::NotBegun);
    BOOST_CHECK(periods.check(12) == PeriodCheck::Acceptable);
    BOOST_CHECK(periods.check(1) == PeriodCheck::Acceptable);
    BOOST_CHECK(periods.check(0) == PeriodCheck::Expired);
}

BOOST_AUTO_TEST_SUITE_END()
