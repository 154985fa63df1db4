#include "base/eventring.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <thread>

using namespace bronzeshed;

BOOST_AUTO_TEST_SUITE(event_ring)

// A push to a full ring must fail and leave the event with the producer. Guards against events that
// are lost silently when the consumer falls behind.
BOOST_AUTO_TEST_CASE(full_ring_keeps_the_event)
{
    Wakeup wakeup;
    EventRing<std::unique_ptr<int>> ring(1, wakeup);
    auto first = std::make_unique<int>(1);
    auto second = std::make_unique<int>(2);
    BOOST_REQUIRE(ring.tryPush(first));
    BOOST_TEST(!ring.tryPush(second));
    BOOST_REQUIRE(second != nullptr);
    BOOST_TEST(*second == 2);
    BOOST_TEST(**ring.tryPop() == 1);
    BOOST_TEST(ring.tryPush(second));
}

// Guards against a lost wake-up when an event is pushed between the consumer's last tryPop() and
// its wait(). The timeout of wait() is long, so that it cannot hide a lost wake-up.
BOOST_AUTO_TEST_CASE(consumer_sees_every_event)
{
    constexpr int Events = 20000;
    Wakeup wakeup;
    EventRing<int> ring(64, wakeup);
    std::thread producer([&] {
        for (int i = 0; i < Events; ++i) {
            int event = i;
            while (!ring.tryPush(event)) {
                std::this_thread::yield();
            }
        }
    });
    int expected = 0;
    while (expected < Events) {
        if (const auto event = ring.tryPop()) {
            BOOST_REQUIRE(*event == expected);
            ++expected;
            continue;
        }
        wakeup.wait(std::chrono::hours(1));
    }
    producer.join();
}

// Guards against a wait() that blocks although notify() was called while the consumer was running,
// after its previous wait() had returned.
BOOST_AUTO_TEST_CASE(wait_returns_after_an_earlier_notification)
{
    constexpr std::chrono::seconds Limit{10};
    Wakeup wakeup;
    wakeup.wait(Duration::zero());
    wakeup.notify();
    const TimePoint start = std::chrono::steady_clock::now();
    wakeup.wait(Limit);
    BOOST_CHECK(std::chrono::steady_clock::now() - start < Limit);
}

BOOST_AUTO_TEST_SUITE_END()
