#include "dispatcherfixture.h"
#include "routing/queueaheadpolicy.h"

#include <boost/test/unit_test.hpp>

using namespace bronzeshed;
using std::chrono::milliseconds;

namespace {

struct QueueAheadFixture : DispatcherFixture
{
    QueueAheadFixture()
        : DispatcherFixture(std::make_unique<QueueAheadPolicy>())
    {
        this->list({"1"});
        for (int i = 0; i < 3; ++i) {
            this->admit("reads", milliseconds(1000));
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(queue_ahead, QueueAheadFixture)

// Guards against more than one call that waits at an upstream, where it cannot go elsewhere.
BOOST_AUTO_TEST_CASE(one_call_waits_at_a_busy_upstream)
{
    BOOST_TEST(this->dispatcher.usedSlots() == 3U);
    this->admit("reads", milliseconds(1000));
    BOOST_TEST(this->dispatcher.usedSlots() == 3U);
    BOOST_TEST(this->dispatcher.queuedCalls() == 1U);
}

// Guards against an upstream without a queue that is taken for failing, and against a call that
// loses its attempts or its retry budget to such refusals.
BOOST_AUTO_TEST_CASE(refusing_a_queued_attempt_is_not_a_failure)
{
    this->end(this->output.orders[2], AttemptStatus::NotStarted);
    BOOST_TEST(this->dispatcher.usedSlots() == 2U);
    BOOST_TEST(this->dispatcher.queuedCalls() == 1U);
    BOOST_TEST(this->output.ends.empty());
    this->end(this->output.orders[0], AttemptStatus::Answered);
    // The refused call takes the free slot, and no other call waits there again.
    BOOST_TEST((this->output.orders.back().call == this->output.orders[2].call));
    this->admit("reads", milliseconds(1000));
    BOOST_TEST(this->dispatcher.queuedCalls() == 1U);
    // The refusal was no attempt of the call, so a retry is left.
    const std::size_t ends = this->output.ends.size();
    this->end(this->output.orders.back(), AttemptStatus::NotSent);
    BOOST_TEST(this->output.ends.size() == ends);
}

// Guards against counting the wait at the upstream as service time, which would refuse calls early.
BOOST_AUTO_TEST_CASE(service_time_excludes_the_wait_at_the_upstream)
{
    for (std::size_t round = 0; round < 100; ++round) {
        const std::size_t first = round * 3;
        this->clock.advance(milliseconds(10));
        this->end(this->output.orders[first], AttemptStatus::Answered);
        this->end(this->output.orders[first + 1], AttemptStatus::Answered);
        this->clock.advance(milliseconds(10));
        this->end(this->output.orders[first + 2], AttemptStatus::Answered);
        for (int i = 0; i < 3 && round < 99; ++i) {
            this->admit("orders", milliseconds(1000));
        }
    }
    // With a mean of 10 ms, 5 ms of wait and 10 ms of service fit; with 13.3 ms they would not.
    for (int i = 0; i < 3; ++i) {
        this->admit("orders", milliseconds(1000));
    }
    const std::size_t ends = this->output.ends.size();
    this->admit("reads", milliseconds(16));
    BOOST_TEST(this->output.ends.size() == ends);
}

BOOST_AUTO_TEST_SUITE_END()
