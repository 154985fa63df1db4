#include "dispatcherfixture.h"

#include <boost/test/unit_test.hpp>

using namespace bronzeshed;
using std::chrono::milliseconds;

namespace {

/** With a known service time of 5 ms, so that hedges have a time to wait for. */
struct WarmFixture : DispatcherFixture
{
    void warmUp(unsigned calls)
    {
        for (unsigned i = 0; i < calls; ++i) {
            this->runCall("reads", AttemptStatus::Answered);
        }
        this->output.orders.clear();
        this->output.ends.clear();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(repeats, WarmFixture)

// Guards against a second execution of a request that must run at most once.
BOOST_AUTO_TEST_CASE(never_retries_a_non_repeatable_call_that_may_have_run)
{
    this->list({"1", "2"});
    for (const AttemptStatus status :
         {AttemptStatus::Failed, AttemptStatus::TimedOut, AttemptStatus::Cancelled}) {
        const std::size_t before = this->output.orders.size();
        this->admit("orders", milliseconds(1000));
        this->end(this->output.orders.back(), status);
        BOOST_TEST(this->output.orders.size() == before + 1);
        BOOST_TEST((this->lastEnd().outcome == Outcome::Unknown));
    }
}

// Guards against giving up a request that certainly did not run.
BOOST_AUTO_TEST_CASE(retries_a_call_that_did_not_run_at_another_upstream)
{
    this->list({"1", "2"});
    this->admit("orders", milliseconds(1000));
    this->end(this->output.orders[0], AttemptStatus::NotStarted);
    BOOST_REQUIRE(this->output.orders.size() == 2U);
    BOOST_TEST((this->output.orders[0].upstream.id != this->output.orders[1].upstream.id));
    this->end(this->output.orders[1], AttemptStatus::Answered);
    BOOST_TEST((this->lastEnd().outcome == Outcome::Answered));
}

// Guards against "not run" for a repeatable request whose first attempt may have run.
BOOST_AUTO_TEST_CASE(a_failed_first_attempt_makes_the_outcome_unknown)
{
    this->list({"1", "2"});
    this->admit("reads", milliseconds(1000));
    this->end(this->output.orders[0], AttemptStatus::Failed);
    this->end(this->output.orders[1], AttemptStatus::NotSent);
    BOOST_TEST((this->lastEnd().outcome == Outcome::Unknown));
}

// Guards against retries that multiply the load when everything fails.
BOOST_AUTO_TEST_CASE(retries_stay_within_a_tenth_of_the_calls)
{
    this->list({"1", "2", "3"});
    constexpr unsigned Calls = 1000;
    std::size_t next = 0;
    for (unsigned i = 0; i < Calls; ++i) {
        this->admit("reads", milliseconds(1000));
        while (next < this->output.orders.size()) {
            // Cancelled ends are no failures of the upstream and cause no ejection.
            this->end(this->output.orders[next++], AttemptStatus::Cancelled);
        }
    }
    BOOST_TEST(this->output.orders.size() > Calls + Calls / 10 - 2);
    BOOST_TEST(this->output.orders.size() <= Calls + Calls / 10 + 1);
}

// Guards against callers' repeats that come on top of the entry's own retries.
BOOST_AUTO_TEST_CASE(caller_repeats_spend_from_the_retry_budget)
{
    this->list({"1"});
    // The initial permit goes to the first repeat, so the next failure is not retried.
    this->admit("reads", milliseconds(1000), 1);
    this->end(this->output.orders[0], AttemptStatus::NotSent);
    BOOST_TEST(this->output.orders.size() == 1U);
    BOOST_TEST((this->lastEnd().outcome == Outcome::NotRun));
    // Without budget, a repeat is admitted to a free slot only.
    this->admit("reads", milliseconds(1000), 2);
    this->admit("reads", milliseconds(1000), 2);
    BOOST_TEST(this->output.orders.size() == 3U);
    this->admit("reads", milliseconds(1000), 2);
    BOOST_TEST((this->lastEnd().reason == Reason::Overloaded));
}

// Guards against a slow attempt that holds up a repeatable call, and against a second answer.
BOOST_AUTO_TEST_CASE(hedges_after_the_95th_percentile_and_cancels_the_slower_attempt)
{
    this->list({"1", "2"});
    this->warmUp(40);
    this->admit("reads", milliseconds(1000));
    this->advance(milliseconds(4));
    BOOST_TEST(this->output.orders.size() == 1U);
    this->advance(milliseconds(1));
    BOOST_REQUIRE(this->output.orders.size() == 2U);
    BOOST_TEST(this->output.orders[1].hedge);
    BOOST_TEST((this->output.orders[0].upstream.id != this->output.orders[1].upstream.id));
    this->end(this->output.orders[1], AttemptStatus::Answered);
    BOOST_TEST((this->lastEnd().winner == this->output.orders[1].attempt));
    BOOST_REQUIRE(this->output.cancelled.size() == 1U);
    BOOST_TEST((this->output.cancelled[0] == this->output.orders[0].attempt));
    this->end(this->output.orders[0], AttemptStatus::Answered);
    BOOST_TEST(this->output.ends.size() == 1U);
    BOOST_TEST(this->dispatcher.usedSlots() == 0U);
}

// Guards against ending a hedged call while its other attempt may still answer.
BOOST_AUTO_TEST_CASE(a_call_with_a_failed_attempt_waits_for_its_hedge)
{
    this->list({"1", "2"});
    this->warmUp(40);
    this->admit("reads", milliseconds(1000));
    this->advance(milliseconds(5));
    this->end(this->output.orders.at(0), AttemptStatus::Failed);
    BOOST_TEST(this->output.ends.empty());
    this->end(this->output.orders.at(1), AttemptStatus::Answered);
    BOOST_TEST((this->lastEnd().outcome == Outcome::Answered));
}

// Guards against hedges of calls that must run once, on busy upstreams or beyond 5% of the calls.
BOOST_AUTO_TEST_CASE(hedges_only_where_allowed)
{
    this->list({"1", "2"});
    this->warmUp(40);
    this->admit("orders", milliseconds(1000));
    this->advance(milliseconds(20));
    BOOST_TEST(this->output.orders.size() == 1U);
    // The other three slots are taken, so no upstream has a free one.
    for (int i = 0; i < 3; ++i) {
        this->admit("orders", milliseconds(1000));
    }
    this->end(this->output.orders[0], AttemptStatus::Answered);
    this->admit("reads", milliseconds(1000));
    this->advance(milliseconds(20));
    BOOST_TEST(this->output.orders.size() == 5U);
}

// Guards against hedges beyond 5% of the calls when every call is slow.
BOOST_AUTO_TEST_CASE(hedges_stay_within_a_twentieth_of_the_calls)
{
    this->list({"1", "2"});
    this->warmUp(40);
    unsigned hedges = 0;
    for (int i = 0; i < 400; ++i) {
        const std::size_t first = this->output.orders.size();
        this->admit("reads", milliseconds(1000));
        this->advance(milliseconds(5));
        hedges += this->output.orders.size() - first - 1;
        this->end(this->output.orders[first], AttemptStatus::Answered);
        if (this->output.orders.size() > first + 1) {
            this->end(this->output.orders.back(), AttemptStatus::Cancelled);
        }
    }
    BOOST_TEST(hedges <= 22U);
    BOOST_TEST(hedges >= 20U);
}

BOOST_AUTO_TEST_SUITE_END()
