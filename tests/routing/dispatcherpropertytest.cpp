#include "dispatcherfixture.h"
#include "dispatcheroracle.h"
#include "routing/queueaheadpolicy.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <cstdlib>
#include <iterator>

using namespace bronzeshed;
using std::chrono::milliseconds;

namespace {

/** Fixed, so that the verdict is repeatable; RC_PARAMS of the environment goes first. */
struct FixedSeed
{
    FixedSeed() { ::setenv("RC_PARAMS", "seed=20261204 max_success=300 max_size=200", 0); }
};

BOOST_TEST_GLOBAL_FIXTURE(FixedSeed);

constexpr unsigned Upstreams = 4;
constexpr unsigned WarmUpCalls = 40;

std::unique_ptr<SelectionPolicy> makePolicy(bool queueAhead)
{
    if (queueAhead) {
        return std::make_unique<QueueAheadPolicy>();
    }
    return std::make_unique<FreeSlotPolicy>();
}

/** The dispatcher under test with its oracle. The oracle is the model, so Model is empty. */
struct System
{
    explicit System(bool queueAhead)
        : oracle(queueAhead ? 3 : 2)
        , dispatcher(this->clock, this->random, this->timers, this->oracle, makePolicy(queueAhead),
                     DispatcherOptions{12, 2, RegionName("r"), ZoneName("a")})
    {
        this->list(0);
        // Hedges start only when the service time is known and calls have earned them.
        for (unsigned i = 0; i < WarmUpCalls; ++i) {
            this->runCall(true);
            this->runCall(false);
        }
    }

    void runCall(bool repeatable)
    {
        this->lastCall = this->lastCall.next();
        this->oracle.admitted(this->lastCall, repeatable);
        this->dispatcher.admit(
            {this->lastCall, ClassName(repeatable ? "reads" : "orders"), milliseconds(1000), 0, 0});
        this->clock.advance(milliseconds(5));
        AttemptReport report;
        report.status = AttemptStatus::Answered;
        this->endAttempt(0, report);
    }

    /** Lists the upstreams; those in @p leaving are leaving. The last one is in another region. */
    void list(unsigned leaving)
    {
        std::vector<UpstreamInfo> infos;
        for (unsigned i = 0; i < Upstreams; ++i) {
            UpstreamInfo info
                = DispatcherFixture::upstream(std::to_string(i), i + 1 == Upstreams ? "far" : "r");
            info.leaving = (leaving >> i & 1U) != 0;
            infos.push_back(info);
        }
        this->oracle.setUpstreams(infos);
        this->dispatcher.update(this->fixture.declaration, infos);
    }

    void endAttempt(std::size_t choice, const AttemptReport &report)
    {
        const auto &open = this->oracle.openAttempts();
        if (open.empty()) {
            return;
        }
        const AttemptId id = std::next(open.begin(), choice % open.size())->first;
        this->oracle.attemptEnds(id, report);
        this->dispatcher.attemptEnded(id, report);
    }

    void advance(Duration step)
    {
        this->clock.advance(step);
        this->timers.fire(this->clock.now());
    }

    DispatcherFixture fixture; ///< for its declaration only
    ManualClock clock;
    SeededRandom random{11};
    TimerService timers;
    DispatcherOracle oracle;
    Dispatcher dispatcher;
    CallId lastCall;
};

struct Model
{
};

using Command = rc::state::Command<Model, System>;

struct CheckedCommand : Command
{
    void run(const Model & /*model*/, System &system) const override
    {
        this->act(system);
        RC_ASSERT(system.oracle.violation() == "");
        RC_ASSERT(system.dispatcher.openCalls() == system.oracle.openCalls().size());
        RC_ASSERT(system.dispatcher.openAttempts() == system.oracle.openAttempts().size());
        RC_ASSERT(system.dispatcher.usedSlots() == system.oracle.openAttempts().size());
    }
    virtual void act(System &system) const = 0;
};

struct Admit : CheckedCommand
{
    bool repeatable = *rc::gen::arbitrary<bool>();
    int timeLeft = *rc::gen::inRange(-1, 2000);
    unsigned attempt = *rc::gen::inRange(0U, 3U);

    void act(System &system) const override
    {
        system.lastCall = system.lastCall.next();
        system.oracle.admitted(system.lastCall, this->repeatable);
        system.dispatcher.admit({system.lastCall, ClassName(this->repeatable ? "reads" : "orders"),
                                 milliseconds(this->timeLeft), 0, this->attempt});
    }
};

struct EndAttempt : CheckedCommand
{
    std::size_t choice = *rc::gen::inRange(0, 100);
    AttemptStatus status
        = *rc::gen::weightedElement<AttemptStatus>({{8, AttemptStatus::Answered},
                                                    {1, AttemptStatus::NotStarted},
                                                    {1, AttemptStatus::NotSent},
                                                    {1, AttemptStatus::Failed},
                                                    {1, AttemptStatus::TimedOut},
                                                    {1, AttemptStatus::Cancelled}});
    bool serverError = *rc::gen::weightedElement<bool>({{1, true}, {9, false}});
    bool draining = *rc::gen::weightedElement<bool>({{1, true}, {49, false}});

    void act(System &system) const override
    {
        AttemptReport report;
        report.status = this->status;
        report.httpStatus = this->serverError ? 500 : 200;
        report.draining = this->draining;
        system.endAttempt(this->choice, report);
    }
};

struct Advance : CheckedCommand
{
    int step = *rc::gen::element(1, 5, 20, 100, 1000, 5000);

    void act(System &system) const override { system.advance(milliseconds(this->step)); }
};

struct CallerLeaves : CheckedCommand
{
    std::uint64_t choice = *rc::gen::inRange(0, 100);

    void act(System &system) const override
    {
        const auto open = system.oracle.openCalls();
        if (!open.empty()) {
            system.dispatcher.callerLeft(*std::next(open.begin(), this->choice % open.size()));
        }
    }
};

struct List : CheckedCommand
{
    unsigned leaving = *rc::gen::inRange(0U, 1U << Upstreams);

    void act(System &system) const override { system.list(this->leaving); }
};

struct Allow : CheckedCommand
{
    bool allowed = *rc::gen::weightedElement<bool>({{3, true}, {1, false}});

    void act(System &system) const override
    {
        system.oracle.setAllowed(this->allowed);
        system.dispatcher.setDispatchAllowed(this->allowed);
    }
};

/** Lets every call end by its deadline and every attempt by its cancellation. */
void finishAll(System &system)
{
    system.advance(milliseconds(10000));
    RC_ASSERT(system.oracle.openCalls().empty());
    AttemptReport report;
    report.status = AttemptStatus::Cancelled;
    while (!system.oracle.openAttempts().empty()) {
        system.endAttempt(0, report);
    }
    RC_ASSERT(system.oracle.violation() == "");
    RC_ASSERT(system.dispatcher.openCalls() == 0U);
    RC_ASSERT(system.dispatcher.usedSlots() == 0U);
}

} // namespace

BOOST_AUTO_TEST_SUITE(dispatcher_properties)

// Guards against a call that ends twice or never, a second execution of a non-idempotent call, a
// false "not run", work for a leaving upstream and slots that are never given back.
BOOST_AUTO_TEST_CASE(every_rule_holds_after_any_events)
{
    const bool holds = rc::check("dispatcher follows its oracle", [] {
        System system(*rc::gen::arbitrary<bool>());
        const Model model;
        rc::state::check(model, system,
                         rc::state::gen::execOneOfWithArgs<Admit, Admit, EndAttempt, EndAttempt,
                                                           Advance, CallerLeaves, List, Allow>());
        finishAll(system);
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()
