#include "base/timerservice.h"

#include <boost/test/unit_test.hpp>
#include <vector>

using namespace bronzeshed;

BOOST_AUTO_TEST_SUITE(timer_service)

// Timers are added in another order than that of their due times. Guards against callbacks that run
// out of order or before they are due.
BOOST_AUTO_TEST_CASE(fires_due_timers_in_order)
{
    TimerService timers;
    std::vector<int> fired;
    const TimePoint start;
    timers.once(start + std::chrono::seconds(2), [&](TimePoint) { fired.push_back(2); });
    timers.once(start + std::chrono::seconds(1), [&](TimePoint) { fired.push_back(1); });
    timers.once(start + std::chrono::seconds(3), [&](TimePoint) { fired.push_back(3); });
    timers.fire(start + std::chrono::seconds(2));
    BOOST_TEST(fired == (std::vector<int>{1, 2}), boost::test_tools::per_element());
    BOOST_TEST((timers.nextDue() == start + std::chrono::seconds(3)));
}

// Guards against a burst of callbacks when the process resumes after a pause of many periods.
BOOST_AUTO_TEST_CASE(merges_missed_periods)
{
    TimerService timers;
    int count = 0;
    const TimePoint start;
    timers.every(start, std::chrono::seconds(1), [&](TimePoint) { ++count; });
    timers.fire(start + std::chrono::hours(1));
    BOOST_TEST(count == 1);
}

// Guards against use after free when a running callback cancels its own timer or another due one.
BOOST_AUTO_TEST_CASE(callbacks_may_cancel_timers)
{
    TimerService timers;
    int count = 0;
    const TimePoint start;
    TimerId own;
    TimerId other;
    own = timers.every(start, std::chrono::seconds(1), [&](TimePoint) {
        ++count;
        timers.cancel(own);
        timers.cancel(other);
    });
    other = timers.once(start + std::chrono::nanoseconds(1), [&](TimePoint) { count += 100; });
    timers.fire(start + std::chrono::seconds(5));
    BOOST_TEST(count == 1);
    BOOST_TEST(!timers.nextDue().has_value());
}

BOOST_AUTO_TEST_SUITE_END()
