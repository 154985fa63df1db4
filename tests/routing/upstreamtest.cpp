#include "dispatcherfixture.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace bronzeshed;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct UpstreamFixture : DispatcherFixture
{
    /** Upstreams of @p calls calls in progress at the same time. */
    std::map<std::string, unsigned> spread(unsigned calls)
    {
        const std::size_t first = this->output.orders.size();
        for (unsigned i = 0; i < calls; ++i) {
            this->admit("orders", milliseconds(100000));
        }
        std::map<std::string, unsigned> result;
        for (std::size_t i = first; i < this->output.orders.size(); ++i) {
            ++result[this->output.orders[i].upstream.id.value()];
        }
        return result;
    }

    void fail(unsigned times)
    {
        for (unsigned i = 0; i < times; ++i) {
            this->runCall("orders", AttemptStatus::Failed, Duration::zero());
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(upstreams, UpstreamFixture)

// Guards against an upstream that fails fast and so draws all the calls.
BOOST_AUTO_TEST_CASE(ejects_after_three_failures_and_readmits_by_one_trial)
{
    this->list({"1"});
    this->fail(3);
    BOOST_TEST(this->spread(1).empty());
    this->advance(milliseconds(999));
    BOOST_TEST(this->output.orders.size() == 3U);
    this->admit("orders", milliseconds(100000));
    this->advance(milliseconds(1));
    // Two calls wait, but only one trial call starts.
    BOOST_TEST(this->output.orders.size() == 4U);
    this->end(this->output.orders.back(), AttemptStatus::Answered);
    BOOST_TEST(this->output.orders.size() == 5U);
}

// Guards against retrying a dead upstream every second for ever.
BOOST_AUTO_TEST_CASE(ejection_doubles_up_to_thirty_seconds)
{
    this->list({"1"});
    this->fail(3);
    for (const int expected : {1, 2, 4, 8, 16, 30, 30}) {
        this->advance(seconds(expected) - milliseconds(1));
        BOOST_TEST(this->runCall("orders", AttemptStatus::Failed, Duration::zero()).empty());
        this->advance(milliseconds(1));
        BOOST_TEST(this->runCall("orders", AttemptStatus::Failed, Duration::zero()) == "1");
    }
}

// Guards against an upstream that fails every other call and never three in a row.
BOOST_AUTO_TEST_CASE(ejects_after_half_of_the_last_twenty)
{
    this->list({"1"});
    for (int i = 0; i < 10; ++i) {
        BOOST_TEST(this->runCall("orders", AttemptStatus::Answered) == "1");
        BOOST_TEST(this->runCall("orders", AttemptStatus::Failed) == "1");
    }
    BOOST_TEST(this->runCall("orders", AttemptStatus::Answered).empty());
}

// Guards against probes beyond the budget and against full work after a misleading probe.
BOOST_AUTO_TEST_CASE(probes_before_the_trial_call_within_the_budget)
{
    this->output.canProbe = true;
    this->list({"1"});
    this->fail(3);
    this->spread(2);
    this->advance(seconds(1));
    BOOST_REQUIRE(this->output.probes.size() == 1U);
    BOOST_TEST(this->output.orders.size() == 3U);
    this->dispatcher.probeEnded(UpstreamId("1"), true);
    BOOST_TEST(this->output.orders.size() == 4U);
}

// Guards against an upstream with a broken health endpoint that is never tried again.
BOOST_AUTO_TEST_CASE(a_trial_call_follows_a_failed_probe)
{
    this->output.canProbe = true;
    this->list({"1"});
    this->fail(3);
    this->spread(1);
    // The probe is not answered within 500 ms, and the ejection then doubles to 2 s.
    this->advance(milliseconds(3499));
    BOOST_TEST(this->output.orders.size() == 3U);
    this->advance(milliseconds(1));
    BOOST_TEST(this->output.orders.size() == 4U);
    BOOST_TEST(this->output.probes.size() == 1U);
}

// Guards against probes that take more server time than declared.
BOOST_AUTO_TEST_CASE(probe_budget_is_a_third_of_the_declared_share)
{
    ProbeBudget budget(this->clock.now());
    budget.configure({0.01, 100000}, this->clock.now());
    budget.track(UpstreamId("1"), 2, this->clock.now());
    int probes = 0;
    for (int i = 0; i < 90000; ++i) {
        this->clock.advance(milliseconds(1));
        probes += budget.trySpend(UpstreamId("1"), this->clock.now()) ? 1 : 0;
    }
    // 90 s of two slots at a third of 1% are 600 ms, or 100 probes of 6 ms.
    BOOST_TEST(probes <= 100);
    BOOST_TEST(probes >= 98);
}

// Guards against new work for an upstream that leaves or drains.
BOOST_AUTO_TEST_CASE(a_leaving_or_draining_upstream_gets_no_new_attempt)
{
    this->list({"1", "2"});
    AttemptReport report;
    report.status = AttemptStatus::Answered;
    report.draining = true;
    this->spread(1);
    const UpstreamId drainingUpstreams = this->output.orders[0].upstream.id;
    this->dispatcher.attemptEnded(this->output.orders[0].attempt, report);
    BOOST_TEST(this->spread(6).size() == 1U);
    BOOST_TEST((this->output.orders.back().upstream.id != drainingUpstreams));
    UpstreamInfo leaving = upstream(drainingUpstreams.value() == "1" ? "2" : "1");
    leaving.leaving = true;
    this->dispatcher.update(this->declaration, {leaving});
    const std::size_t orders = this->output.orders.size();
    this->end(this->output.orders.back(), AttemptStatus::Answered);
    BOOST_TEST(this->output.orders.size() == orders);
}

// Guards against a cold upstream that gets its full share before it is warm.
BOOST_AUTO_TEST_CASE(a_new_upstream_starts_slowly)
{
    this->list({"1"});
    this->list({"1", "2"});
    BOOST_TEST(this->spread(1)["1"] == 1U);
    auto more = this->spread(5);
    BOOST_TEST(more["1"] == 1U);
    BOOST_TEST(more["2"] == 1U);
    this->advance(seconds(10));
    // After the slow start the waiting calls get the second slot.
    this->end(this->output.orders[0], AttemptStatus::Answered);
    BOOST_TEST(this->dispatcher.usedSlots() == 4U);
}

// Guards against a slow upstream that gets as much work as the others.
BOOST_AUTO_TEST_CASE(a_slow_upstream_gets_less_work)
{
    this->list({"1", "2", "3", "4"});
    for (int i = 0; i < 200; ++i) {
        this->admit("orders", milliseconds(100000));
        const AttemptOrder order = this->output.orders.back();
        this->advance(milliseconds(order.upstream.id.value() == "1" ? 50 : 5));
        this->end(order, AttemptStatus::Answered);
    }
    auto load = this->spread(7);
    BOOST_TEST(load["1"] == 1U);
    BOOST_TEST(this->spread(1).empty());
}

// Guards against sending work over slow and paid links while the own region can do it.
BOOST_AUTO_TEST_CASE(other_regions_are_used_only_without_upstreams_in_the_own_region)
{
    this->dispatcher.update(this->declaration, {upstream("own"), upstream("far", "other")});
    auto load = this->spread(4);
    BOOST_TEST(load["own"] == 2U);
    BOOST_TEST(load["far"] == 0U);
    UpstreamInfo own = upstream("own");
    own.leaving = true;
    this->dispatcher.update(this->declaration, {own, upstream("far", "other")});
    BOOST_TEST(this->output.orders.size() == 3U);
    BOOST_TEST((this->output.orders.back().upstream.id == UpstreamId("far")));
}

// Guards against an overloaded region that waits beside idle upstreams of another one.
BOOST_AUTO_TEST_CASE(other_regions_relieve_an_overloaded_region)
{
    this->dispatcher.update(this->declaration, {upstream("own"), upstream("far", "other")});
    this->runCall("orders", AttemptStatus::Answered, milliseconds(10));
    this->spread(2);
    auto load = this->spread(5);
    // The fifth waiting call makes the wait 25 ms.
    BOOST_TEST(load["far"] == 1U);
}

// Guards against the slots of a replaced server being held by attempts at the old one.
BOOST_AUTO_TEST_CASE(a_replaced_upstream_keeps_no_state)
{
    this->list({"1"});
    this->spread(2);
    UpstreamInfo replaced = upstream("1");
    replaced.endpoint.port = 2;
    this->dispatcher.update(this->declaration, {replaced});
    BOOST_TEST(this->dispatcher.usedSlots() == 0U);
    this->end(this->output.orders[0], AttemptStatus::Failed);
    this->end(this->output.orders[1], AttemptStatus::Failed);
    BOOST_TEST(this->dispatcher.usedSlots() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
