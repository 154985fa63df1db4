#include "membershipprocesses.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <csignal>
#include <thread>

using namespace bronzeshed;

namespace {

constexpr unsigned Size = 5;

/** Five instances that know one seed. */
struct Fixture
{
    Fixture()
    {
        for (const char *region : {"a", "b", "c", "d", "e"}) {
            this->deployment.startInstance(region);
            if (this->deployment.instances.size() == 1) {
                this->deployment.publishSeed(this->instance(0).agent->endpoint());
            }
        }
        for (unsigned i = 0; i < Size; ++i) {
            BOOST_REQUIRE_MESSAGE(
                waitFor([&] { return this->instance(i).lookup().size() == Size; }),
                "instance " << i << " does not know all others");
        }
    }

    MemberInstance &instance(unsigned index) { return this->deployment.instances[index]; }

    /** Whether the lookups of all instances from @p first on agree on naming @p address. */
    bool allName(unsigned first, const std::string &address, bool named)
    {
        for (unsigned i = first; i < Size; ++i) {
            const auto addresses = this->instance(i).lookup();
            if (addresses.empty() || addresses.contains(address) != named) {
                return false;
            }
        }
        return true;
    }

    MembershipDeployment deployment;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(membership, Fixture)

// Guards against lookups that name a lost instance, or that drop those that still run.
BOOST_AUTO_TEST_CASE(a_lost_instance_is_dead_at_the_others)
{
    const std::string lost = this->instance(0).entryAddress();
    this->instance(0).agent->kill();
    this->instance(0).entry->kill();
    BOOST_TEST(waitFor([&] { return this->allName(1, lost, false); }));
    for (unsigned i = 1; i < Size; ++i) {
        BOOST_TEST(this->allName(1, this->instance(i).entryAddress(), true));
    }
}

// Guards against lookups that name a draining entry until it ends.
BOOST_AUTO_TEST_CASE(a_leaving_entry_vanishes_from_lookups)
{
    this->instance(1).entry->signal(SIGTERM);
    BOOST_TEST(waitFor([&] {
        return this->allName(2, this->instance(1).entryAddress(), false)
            && !this->instance(0).lookup().contains(this->instance(1).entryAddress());
    }));
}

// Guards against an entry that is dropped because its agent is replaced.
BOOST_AUTO_TEST_CASE(a_stopped_agent_leaves_its_entry_running)
{
    this->instance(1).agent->signal(SIGTERM);
    BOOST_TEST(waitFor([&] { return this->instance(1).lookup().empty(); }));
    BOOST_TEST(waitFor([&] { return this->allName(2, this->instance(1).entryAddress(), false); }));
}

// Guards against a new instance that cannot serve during an outage of the store.
BOOST_AUTO_TEST_CASE(a_new_agent_learns_the_configuration_from_peers)
{
    this->deployment.store.kill();
    this->deployment.startInstance("f");
    const MemberInstance &added = this->deployment.instances.back();
    BOOST_TEST(waitFor([&] { return added.lookup().size() == Size + 1; }));
    BOOST_TEST(added.configVersion() == 1);
}

// Guards against a frozen instance that trusts its old state when it resumes, and against one that
// stays dead at the others.
BOOST_AUTO_TEST_CASE(a_frozen_instance_confirms_its_state_and_comes_back)
{
    const MemberInstance &frozen = this->instance(2);
    const auto stopped = std::chrono::steady_clock::now();
    frozen.agent->freeze();
    frozen.entry->freeze();
    this->deployment.putVersion(2);
    BOOST_REQUIRE(waitFor([&] {
        return this->allName(3, frozen.entryAddress(), false)
            && this->instance(0).configVersion() == 2;
    }));
    // The guarantee begins when the state of before is older than the freshness limit of 6 s.
    BOOST_REQUIRE(waitFor(
        [&] { return std::chrono::steady_clock::now() - stopped > std::chrono::seconds(8); }));
    // Nobody can confirm the state of the resumed instance, so it must refuse.
    this->deployment.store.kill();
    for (const unsigned other : {0U, 1U, 3U, 4U}) {
        this->instance(other).agent->freeze();
    }
    frozen.entry->signal(SIGCONT);
    frozen.agent->signal(SIGCONT);
    for (unsigned i = 0; i < 30; ++i) {
        BOOST_TEST(frozen.configVersion() == 0);
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    for (const unsigned other : {0U, 1U, 3U, 4U}) {
        this->instance(other).agent->signal(SIGCONT);
    }
    std::int64_t version = 0;
    BOOST_TEST(waitFor([&] { return (version = frozen.configVersion()) != 0; }));
    BOOST_TEST(version == 2);
    BOOST_TEST(waitFor([&] { return this->allName(0, frozen.entryAddress(), true); }));
}

BOOST_AUTO_TEST_SUITE_END()
