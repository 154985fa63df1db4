#include "http/lazytimer.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

using namespace bronzeshed;

// Guards against a timer that fires at a replaced deadline, or never fires, after the deadline was
// moved to an earlier or a later time or was disabled.
BOOST_AUTO_TEST_CASE(lazy_timer_expires_at_the_latest_deadline)
{
    using std::chrono::milliseconds;
    boost::asio::io_context context;
    unsigned fired = 0;
    LazyTimer timer(context.get_executor(), [&] { ++fired; });
    const TimePoint start = std::chrono::steady_clock::now();
    timer.setDeadline(start + std::chrono::hours(1));
    timer.setDeadline(start + milliseconds(20));
    timer.setDeadline(start + milliseconds(60));
    context.run_for(std::chrono::seconds(10));
    BOOST_TEST(fired == 1U);
    BOOST_CHECK(std::chrono::steady_clock::now() >= start + milliseconds(60));
    timer.setDeadline(std::chrono::steady_clock::now() + milliseconds(10));
    timer.setDeadline(TimePoint::max());
    context.restart();
    context.run_for(std::chrono::seconds(10));
    BOOST_TEST(fired == 1U);
}
