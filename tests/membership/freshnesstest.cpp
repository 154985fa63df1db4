#include "membership/freshness.h"

#include <boost/test/unit_test.hpp>

using namespace bronzeshed;
using namespace std::chrono_literals;

namespace {

struct Fixture
{
    ManualClock clock;
    Freshness freshness{clock};

    void pass(Duration step)
    {
        this->clock.advance(step);
        this->freshness.tick();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(freshness_of_state, Fixture)

// Guards against an agent that was never confirmed and looks fresh.
BOOST_AUTO_TEST_CASE(is_stale_before_the_first_contact)
{
    BOOST_TEST((this->freshness.age() == Duration::max()));
    this->freshness.listAnswered(this->clock.now());
    BOOST_TEST((this->freshness.age() == Duration::max()));
}

// Guards against an old answer, read after a freeze, that makes an old state look fresh.
BOOST_AUTO_TEST_CASE(counts_from_when_the_call_was_sent)
{
    const TimePoint sentAt = this->clock.now();
    this->pass(20s);
    this->freshness.contacted(sentAt);
    BOOST_TEST((this->freshness.age() == 20s));
    this->freshness.contacted(this->clock.now());
    this->freshness.contacted(sentAt);
    BOOST_TEST((this->freshness.age() == 0s));
}

// Guards against a lone agent that refuses all work, and one that trusts its state after a freeze.
BOOST_AUTO_TEST_CASE(lone_agent_confirms_itself_unless_it_was_frozen)
{
    this->freshness.setAlone(true);
    this->pass(1s);
    BOOST_TEST((this->freshness.age() == 0s));
    const TimePoint before = this->clock.now();
    this->clock.advance(20s);
    BOOST_TEST((this->freshness.age() > 6s), "fresh before the first tick after the freeze");
    this->freshness.tick();
    this->freshness.listAnswered(before);
    BOOST_TEST((this->freshness.age() > 6s), "fresh after an answer from before the freeze");
    this->freshness.listAnswered(this->clock.now());
    BOOST_TEST((this->freshness.age() == 0s));
}

BOOST_AUTO_TEST_SUITE_END()
