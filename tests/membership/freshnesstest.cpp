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

// Guards against an agent that reports fresh state after its start although no peer or store has
// confirmed the state yet.
BOOST_AUTO_TEST_CASE(is_stale_before_the_first_contact)
{
    BOOST_TEST((this->freshness.age() == Duration::max()));
    this->freshness.listAnswered(this->clock.now());
    BOOST_TEST((this->freshness.age() == Duration::max()));
}

// Guards against stale state reported as fresh: the process is suspended after it sent a call, and
// reads the old response only when it resumes.
BOOST_AUTO_TEST_CASE(counts_from_when_the_call_was_sent)
{
    const TimePoint sentAt = this->clock.now();
    this->pass(20s);
    this->freshness.peerOrStoreAnswered(sentAt);
    BOOST_TEST((this->freshness.age() == 20s));
    this->freshness.peerOrStoreAnswered(this->clock.now());
    this->freshness.peerOrStoreAnswered(sentAt);
    BOOST_TEST((this->freshness.age() == 0s));
}

// Guards against a sole member that rejects all work because no peer confirms its state, and
// against one that uses its old state after a suspension before a new response has arrived.
BOOST_AUTO_TEST_CASE(sole_member_confirms_itself_unless_it_was_suspended)
{
    this->freshness.setSoleMember(true);
    this->pass(1s);
    BOOST_TEST((this->freshness.age() == 0s));
    const TimePoint before = this->clock.now();
    this->clock.advance(20s);
    BOOST_TEST((this->freshness.age() > 6s), "fresh before the first tick after the suspension");
    this->freshness.tick();
    this->freshness.listAnswered(before);
    BOOST_TEST((this->freshness.age() > 6s), "fresh after a response from before the suspension");
    this->freshness.listAnswered(this->clock.now());
    BOOST_TEST((this->freshness.age() == 0s));
}

BOOST_AUTO_TEST_SUITE_END()
