#include "routing/callqueue.h"
#include "routing/freeslotpolicy.h"
#include "routing/leastoutstandingpolicy.h"
#include "routing/randompolicy.h"
#include "routing/roundrobinpolicy.h"
#include "routing/twochoicespolicy.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace bronzeshed;

namespace {

struct PolicyFixture
{
    PolicyFixture()
    {
        for (unsigned i = 0; i < 3; ++i) {
            this->views[i].info.id = UpstreamId(std::to_string(i));
            this->views[i].outstanding = 2 - i;
            this->views[i].reportedLoad = i;
            this->views[i].sameRegion = true;
            this->all.push_back(&this->views[i]);
        }
    }

    std::array<UpstreamView, 3> views;
    std::vector<UpstreamView *> all;
    SeededRandom random{3};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(policies, PolicyFixture)

// Guards against a baseline that never uses some of the upstreams.
BOOST_AUTO_TEST_CASE(random_and_round_robin_choose_every_upstream)
{
    RandomPolicy randomPolicy;
    RoundRobinPolicy roundRobin;
    std::set<UpstreamView *> chosenRandomly;
    std::set<UpstreamView *> chosenInTurn;
    for (int i = 0; i < 50; ++i) {
        chosenRandomly.insert(randomPolicy.choose(this->all, this->random));
    }
    for (int i = 0; i < 3; ++i) {
        chosenInTurn.insert(roundRobin.choose(this->all, this->random));
    }
    BOOST_TEST(chosenRandomly.size() == 3U);
    BOOST_TEST(chosenInTurn.size() == 3U);
}

// Guards against a baseline that does worse than its name says.
BOOST_AUTO_TEST_CASE(least_outstanding_and_two_choices_prefer_idle_upstreams)
{
    LeastOutstandingPolicy least;
    TwoChoicesPolicy two;
    BOOST_TEST(least.choose(this->all, this->random) == &this->views[2]);
    int lowestLoadChosen = 0;
    for (int i = 0; i < 900; ++i) {
        lowestLoadChosen += two.choose(this->all, this->random) == &this->views[0] ? 1 : 0;
    }
    // Five of nine pairs hold the upstream with the lowest report.
    BOOST_TEST(lowestLoadChosen > 450);
    BOOST_TEST(lowestLoadChosen < 550);
}

// Guards against a third attempt at an upstream with two slots.
BOOST_AUTO_TEST_CASE(free_slot_waits_for_a_slot)
{
    FreeSlotPolicy policy;
    BOOST_TEST(policy.choose(this->all, this->random) == &this->views[2]);
    this->views[2].slow = true;
    BOOST_TEST(policy.choose(this->all, this->random) == &this->views[1]);
    for (UpstreamView &view : this->views) {
        view.outstanding = 2;
    }
    BOOST_TEST(policy.choose(this->all, this->random) == nullptr);
}

// Guards against a class with short deadlines that starves the others of its service.
BOOST_AUTO_TEST_CASE(a_class_with_late_deadlines_is_not_starved)
{
    CallQueue queue;
    const TimePoint now{};
    const ClassName early("early");
    const ClassName late("late");
    for (unsigned i = 0; i < 100; ++i) {
        queue.push(early, now + std::chrono::milliseconds(i), CallId(i));
        queue.push(late, now + std::chrono::seconds(10 + i), CallId(1000 + i));
    }
    unsigned lateStarts = 0;
    for (unsigned i = 0; i < 100; ++i) {
        const CallId next = *queue.next();
        const bool isLate = next.value() >= 1000;
        lateStarts += isLate ? 1 : 0;
        const TimePoint deadline = isLate ? now + std::chrono::seconds(10 + next.value() - 1000)
                                          : now + std::chrono::milliseconds(next.value());
        queue.start(isLate ? late : early, deadline, next);
    }
    BOOST_TEST(lateStarts == 42U);
}

BOOST_AUTO_TEST_SUITE_END()
