#include "dispatcherfixture.h"

#include <boost/test/unit_test.hpp>

using namespace bronzeshed;
using std::chrono::milliseconds;

BOOST_FIXTURE_TEST_SUITE(admission, DispatcherFixture)

// Guards against queueing a call that can only expire, which keeps its caller from going on.
BOOST_AUTO_TEST_CASE(refuses_a_deadline_shorter_than_the_wait)
{
    this->list({"1"});
    this->runCall("reads", AttemptStatus::Answered, milliseconds(10));
    this->admit("reads", milliseconds(9));
    BOOST_TEST((this->lastEnd().outcome == Outcome::NotRun));
    BOOST_TEST((this->lastEnd().reason == Reason::DeadlineTooShort));
    for (int i = 0; i < 4; ++i) {
        this->admit("orders", milliseconds(1000));
    }
    // Two calls run and two wait: 10 ms of wait and 10 ms of service.
    BOOST_TEST(this->dispatcher.queuedCalls() == 2U);
    this->admit("reads", milliseconds(1001));
    BOOST_TEST(this->dispatcher.queuedCalls() == 3U);
    const std::size_t ends = this->output.ends.size();
    this->admit("orders", milliseconds(0));
    BOOST_TEST(this->output.ends.size() == ends + 1);
}

// Guards against a service that stays refused for ever after one slow answer.
BOOST_AUTO_TEST_CASE(ignores_an_outdated_estimate)
{
    this->list({"1"});
    this->runCall("reads", AttemptStatus::Answered, milliseconds(500));
    this->advance(std::chrono::seconds(2));
    this->admit("reads", milliseconds(100));
    BOOST_TEST(this->dispatcher.openCalls() == 1U);
}

// Guards against a queue so long that admitted calls miss the target of their class.
BOOST_AUTO_TEST_CASE(bounds_the_queue_by_the_target)
{
    this->list({"1"});
    for (int i = 0; i < 30; ++i) {
        this->runCall("reads", AttemptStatus::Answered, milliseconds(10));
    }
    for (int i = 0; i < 100; ++i) {
        this->admit("reads", milliseconds(100000 + i));
    }
    BOOST_TEST((this->lastEnd().reason == Reason::QueueFull));
    // Two slots and 10 ms each: eight calls wait at most 40 ms of the target of 50 ms.
    BOOST_TEST(this->dispatcher.queuedCalls() <= 10U);
    BOOST_TEST(this->dispatcher.queuedCalls() >= 4U);
}

// Guards against starting calls in order of arrival instead of deadline.
BOOST_AUTO_TEST_CASE(starts_the_earliest_deadline_first)
{
    this->list({"1"});
    this->admit("reads", milliseconds(300));
    this->admit("reads", milliseconds(300));
    this->admit("reads", milliseconds(300));
    const CallId urgent = this->admit("reads", milliseconds(200));
    this->end(this->output.orders[0], AttemptStatus::Answered);
    BOOST_TEST((this->output.orders.back().call == urgent));
}

// Guards against new attempts while the control state is stale and against lost queued calls.
BOOST_AUTO_TEST_CASE(starts_no_attempt_while_dispatch_is_not_allowed)
{
    this->list({"1"});
    this->dispatcher.setDispatchAllowed(false);
    this->admit("reads", milliseconds(100));
    this->admit("orders", milliseconds(200));
    this->advance(milliseconds(150));
    BOOST_TEST(this->output.orders.empty());
    BOOST_TEST((this->lastEnd().outcome == Outcome::NotRun));
    this->dispatcher.setDispatchAllowed(true);
    BOOST_TEST(this->output.orders.size() == 1U);
}

// Guards against an expired queued call that is reported as possibly run.
BOOST_AUTO_TEST_CASE(a_call_that_expires_in_the_queue_did_not_run)
{
    this->list({});
    this->admit("orders", milliseconds(100));
    this->advance(milliseconds(100));
    BOOST_TEST((this->lastEnd().outcome == Outcome::NotRun));
    BOOST_TEST((this->lastEnd().reason == Reason::NoUpstream));
}

// Guards against calling a request "not run" while an upstream still works on it.
BOOST_AUTO_TEST_CASE(an_attempt_in_progress_makes_the_outcome_unknown)
{
    this->list({"1"});
    this->admit("orders", milliseconds(100));
    this->advance(milliseconds(100));
    BOOST_TEST((this->lastEnd().outcome == Outcome::Unknown));
    BOOST_TEST(this->output.cancelled.size() == 1U);
    this->dispatcher.callerLeft(this->admit("orders", milliseconds(100)));
    BOOST_TEST((this->lastEnd().outcome == Outcome::Unknown));
    BOOST_TEST((this->lastEnd().reason == Reason::CallerLeft));
}

BOOST_AUTO_TEST_SUITE_END()
