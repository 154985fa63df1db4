#include "dispatcherfixture.h"

#include "routing/sharedupstreampolicy.h"

#include <boost/test/unit_test.hpp>

using namespace bronzeshed;
using namespace std::chrono_literals;

namespace {

/** Load reports are recent or out of date at random, as if time passed between two looks. */
struct JumpingClock : Clock
{
    TimePoint now() const override { return TimePoint(1h + (this->random.below(2) * 1s)); }

    mutable SeededRandom random{3};
};

/** A dispatcher that shares upstreams "a", "b" and "c" with other entries. */
struct SharedFixture
{
    explicit SharedFixture(unsigned loadQueries = 0)
        : dispatcher(clock, random, timers, output, std::make_unique<SharedUpstreamPolicy>(clock),
                     options(loadQueries))
    {
        this->declaration.services.insert(ServiceName("s"));
        for (const bool repeatable : {true, false}) {
            ClassTarget target;
            target.name = ClassName(repeatable ? "reads" : "orders");
            target.service = ServiceName("s");
            target.answerWithin = 50ms;
            target.repeatable = repeatable;
            target.maxAttempts = 2;
            this->declaration.classes.emplace(target.name, target);
        }
        this->update({"a", "b", "c"});
        this->output.canProbe = true;
    }

    static DispatcherOptions options(unsigned loadQueries)
    {
        DispatcherOptions options;
        options.region = RegionName("r");
        options.zone = ZoneName("a");
        options.sharedUpstreams = true;
        options.loadQueriesPerCall = loadQueries;
        return options;
    }

    void update(const std::vector<std::string> &ids)
    {
        std::vector<UpstreamInfo> infos;
        infos.reserve(ids.size());
        for (const std::string &id : ids) {
            infos.push_back(DispatcherFixture::upstream(id));
        }
        this->dispatcher.update(this->declaration, infos);
    }

    CallId admit(const char *className)
    {
        this->lastCall = this->lastCall.next();
        this->dispatcher.admit({this->lastCall, ClassName(className), 1000ms, 0, 0});
        return this->lastCall;
    }

    void refuse(const AttemptOrder &order)
    {
        AttemptReport report;
        report.status = AttemptStatus::NotStarted;
        report.httpStatus = 503;
        report.load = LoadReport{2, 4, 2, 100};
        this->dispatcher.attemptEnded(order.attempt, report);
    }

    void advance(Duration step)
    {
        this->clock.advance(step);
        this->timers.fire(this->clock.now());
    }

    ManualClock clock;
    SeededRandom random{7};
    TimerService timers;
    RecordingOutput output;
    Declaration declaration;
    Dispatcher dispatcher;
    CallId lastCall;
};

} // namespace

BOOST_AUTO_TEST_SUITE(shared_upstreams)

// Guards against a call that is sent to full upstreams again and again: every arrival beyond the
// first counts against the budget that all entries share.
BOOST_AUTO_TEST_CASE(refusals_of_full_upstreams_count_as_attempts)
{
    SharedFixture fixture;
    // Fills the slots of all upstreams with own attempts.
    for (int i = 0; i < 6; ++i) {
        fixture.admit("reads");
    }
    const CallId call = fixture.admit("orders");
    while (fixture.output.orders.back().call == call && fixture.output.ends.empty()) {
        fixture.refuse(fixture.output.orders.back());
    }
    BOOST_TEST(fixture.output.orders.size() == 8U);
    BOOST_REQUIRE(fixture.output.ends.size() == 1U);
    BOOST_TEST((fixture.output.ends[0].outcome == Outcome::NotRun));
}

// Guards against a full upstream that is ejected although it works: its refusals are no faults.
BOOST_AUTO_TEST_CASE(a_full_upstream_is_not_ejected)
{
    SharedFixture fixture;
    fixture.update({"a"});
    for (int i = 0; i < 10; ++i) {
        fixture.admit("orders");
        fixture.refuse(fixture.output.orders.back());
    }
    fixture.admit("reads");
    BOOST_TEST(fixture.output.orders.back().upstream.id.value() == "a");
}

// Guards against calls that are placed without a look at how busy and how slow the upstreams are.
BOOST_AUTO_TEST_CASE(a_call_goes_where_it_is_expected_to_end_first)
{
    SharedFixture fixture(3);
    fixture.admit("orders");
    BOOST_TEST(fixture.output.probes.size() == 3U);
    BOOST_TEST(fixture.output.orders.empty());
    fixture.dispatcher.probeEnded(UpstreamId("a"), true, LoadReport{0, 0, 2, 400});
    fixture.dispatcher.probeEnded(UpstreamId("b"), true, LoadReport{1, 0, 2, 100});
    fixture.dispatcher.probeEnded(UpstreamId("c"), true, LoadReport{2, 3, 2, 100});
    BOOST_REQUIRE(fixture.output.orders.size() == 1U);
    BOOST_TEST(fixture.output.orders[0].upstream.id.value() == "b");
}

// Guards against a call that waits for the reports of other upstreams although an idle one
// answered.
BOOST_AUTO_TEST_CASE(an_idle_upstream_ends_the_survey)
{
    SharedFixture fixture(3);
    fixture.admit("orders");
    fixture.dispatcher.probeEnded(UpstreamId("c"), true, LoadReport{0, 0, 2, 100});
    BOOST_REQUIRE(fixture.output.orders.size() == 1U);
    BOOST_TEST(fixture.output.orders[0].upstream.id.value() == "c");
}

// Guards against a call that waits for an upstream that is down.
BOOST_AUTO_TEST_CASE(silent_upstreams_do_not_hold_a_call)
{
    SharedFixture fixture(3);
    fixture.admit("orders");
    fixture.dispatcher.probeEnded(UpstreamId("b"), true, LoadReport{2, 0, 2, 100});
    fixture.advance(LoadSurvey::MaxWait);
    BOOST_REQUIRE(fixture.output.orders.size() == 1U);
    BOOST_TEST(fixture.output.orders[0].upstream.id.value() == "b");
}

// Guards against a crash: a clock that moves between two looks made the order of the upstreams
// inconsistent, and the sort left its range.
BOOST_AUTO_TEST_CASE(upstreams_are_ordered_as_of_one_time)
{
    constexpr int Upstreams = 200;
    JumpingClock clock;
    SeededRandom random{7};
    TimerService timers;
    RecordingOutput output;
    output.canProbe = true;
    Dispatcher dispatcher(clock, random, timers, output,
                          std::make_unique<SharedUpstreamPolicy>(clock), SharedFixture::options(3));
    const SharedFixture fixture;
    std::vector<UpstreamInfo> infos;
    infos.reserve(Upstreams);
    for (int i = 0; i < Upstreams; ++i) {
        infos.push_back(DispatcherFixture::upstream(std::to_string(i)));
    }
    dispatcher.update(fixture.declaration, infos);
    for (std::uint64_t round = 1; round <= 500; ++round) {
        for (const UpstreamInfo &info : infos) {
            const auto percent = static_cast<unsigned>(100 + random.below(300));
            dispatcher.probeEnded(info.id, true, LoadReport{2, 0, 2, percent});
        }
        dispatcher.admit({CallId(round), ClassName("reads"), 1h, 0, 0});
    }
    BOOST_TEST(output.probes.size() >= 3U);
}

// Guards against shares that differ from the declared weights.
BOOST_AUTO_TEST_CASE(a_split_follows_its_weights)
{
    SharedFixture fixture;
    ClassTarget &reads = fixture.declaration.classes.at(ClassName("reads"));
    reads.split = {{ServiceName("s"), 90}, {ServiceName("other"), 10}};
    UpstreamInfo other = DispatcherFixture::upstream("o");
    other.service = ServiceName("other");
    fixture.dispatcher.update(fixture.declaration, {DispatcherFixture::upstream("a"), other});
    for (int i = 0; i < 2000; ++i) {
        fixture.dispatcher.callerLeft(fixture.admit("reads"));
    }
    const auto &orders = fixture.output.orders;
    const auto others = std::count_if(orders.begin(), orders.end(), [](const AttemptOrder &order) {
        return order.upstream.service == ServiceName("other");
    });
    BOOST_TEST(others > 140);
    BOOST_TEST(others < 260);
}

BOOST_AUTO_TEST_SUITE_END()
