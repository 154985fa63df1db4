#include "metrics/callwindow.h"

#include <boost/test/unit_test.hpp>

using namespace bronzeshed;

BOOST_AUTO_TEST_SUITE(call_window)

// One call a second is added for five minutes, so that every bucket is reused several times. Guards
// against calls that are counted for longer than 60 s or shorter than 55 s, and against a reused
// bucket that still contains the counts of the minute before.
BOOST_AUTO_TEST_CASE(counts_each_call_for_55_to_60_seconds)
{
    ManualClock clock;
    CallWindow window(clock);
    for (int second = 0; second < 300; ++second) {
        window.add({1, 0, 0, 0});
        const auto expected = second < 60 ? second + 1 : 55 + second % 5 + 1;
        BOOST_REQUIRE_EQUAL(window.counts().calls(), static_cast<std::uint64_t>(expected));
        clock.advance(std::chrono::seconds(1));
    }
    clock.advance(std::chrono::seconds(54));
    BOOST_TEST(window.counts().calls() == 5U);
    clock.advance(std::chrono::seconds(1));
    BOOST_TEST(window.counts().calls() == 0U);
    window.add({1, 2, 3, 4});
    BOOST_TEST((parseCallCounts(serializeCallCounts({{ClassName("c"), window.counts()}}))
                == CallCountsByClass{{ClassName("c"), {1, 2, 3, 4}}}));
}

BOOST_AUTO_TEST_SUITE_END()
