#include "gossipcluster.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

using namespace bronzeshed;
using namespace std::chrono_literals;

namespace {

constexpr unsigned Size = 4;

/** Fixes the seed, so that the test result is repeatable. */
struct FixedSeed
{
    FixedSeed() { ::setenv("RC_PARAMS", "seed=20261204 max_success=300", 1); }
};

/** Empty model, since every command applies to any state. */
struct Model
{
};

using Command = rc::state::Command<Model, GossipCluster>;
using Versions = std::vector<ConfigVersion>;

Versions versionsOf(GossipCluster &cluster)
{
    Versions versions;
    for (const auto &agent : cluster.agents) {
        versions.push_back(agent->state.record().version);
    }
    return versions;
}

/** Checks the invariants. @param lowest the minimum version of each agent */
void checkInvariants(const Versions &lowest, GossipCluster &cluster)
{
    const Versions versions = versionsOf(cluster);
    for (unsigned i = 0; i < Size; ++i) {
        AgentState &state = cluster.agents[i]->state;
        RC_ASSERT(versions[i] >= lowest[i]);
        for (unsigned other = 0; other < i; ++other) {
            AgentState &second = cluster.agents[other]->state;
            if (state.digest().membershipHash == second.digest().membershipHash) {
                RC_ASSERT(withoutDead(state.members()) == withoutDead(second.members()));
            }
        }
    }
}

struct AgentCommand : Command
{
    unsigned first = *rc::gen::inRange(0U, Size);
    unsigned second = *rc::gen::inRange(0U, Size);

    virtual void act(GossipCluster &cluster) const = 0;
    virtual bool losesState() const { return false; }
    void run(const Model & /*model*/, GossipCluster &cluster) const override
    {
        Versions lowest = versionsOf(cluster);
        this->act(cluster);
        if (this->losesState()) {
            lowest[this->first] = ConfigVersion(0);
        }
        checkInvariants(lowest, cluster);
    }
};

struct Exchange : AgentCommand
{
    Loss loss = *rc::gen::weightedElement<Loss>(
        {{6, Loss::None}, {1, Loss::Request}, {1, Loss::Answer}, {1, Loss::SyncAnswer}});
    void act(GossipCluster &cluster) const override
    {
        cluster.exchange(this->first, this->second, this->loss);
    }
};

struct Push : AgentCommand
{
    void act(GossipCluster &cluster) const override
    {
        cluster.pushUpdates(this->first, this->second);
    }
};

struct Pause : AgentCommand
{
    void act(GossipCluster &cluster) const override
    {
        TestAgent &agent = *cluster.agents[this->first];
        agent.paused = !agent.paused;
    }
};

struct AdvanceTime : AgentCommand
{
    Duration time = *rc::gen::weightedElement<Duration>({{8, 1s}, {8, 4s}, {1, 11min}});
    void act(GossipCluster &cluster) const override { cluster.advanceTime(this->time, 500ms); }
};

struct Restart : AgentCommand
{
    bool withEntry = *rc::gen::arbitrary<bool>();
    void act(GossipCluster &cluster) const override
    {
        cluster.restart(this->first, this->withEntry);
    }
    bool losesState() const override { return true; }
};

/** An agent receives a version from the store, possibly an older one. */
struct AdoptRecord : AgentCommand
{
    std::uint64_t version = *rc::gen::inRange<std::uint64_t>(1, 20);
    void act(GossipCluster &cluster) const override
    {
        ConfigRecord record = makeRecord(this->version);
        record.drainFlags[UpstreamId("u")] = {this->version, this->version % 2 == 0};
        cluster.agents[this->first]->state.adoptRecord(record);
    }
};

rc::Gen<std::shared_ptr<const Command>> makeCommand(const Model & /*model*/)
{
    return rc::state::gen::execOneOfWithArgs<Exchange, Exchange, Exchange, Push, Pause, AdvanceTime,
                                             Restart, AdoptRecord>()();
}

void checkConverged(GossipCluster &cluster)
{
    const PeerDigest expected = cluster.agents[0]->state.digest();
    for (const auto &agent : cluster.agents) {
        const auto members = withoutDead(agent->state.members());
        RC_ASSERT(members.size() == Size);
        for (const Member &member : members) {
            RC_ASSERT(member.state == MemberState::Alive);
        }
        const PeerDigest digest = agent->state.digest();
        RC_ASSERT(digest.membershipHash == expected.membershipHash);
        RC_ASSERT(digest.configVersion == expected.configVersion);
        RC_ASSERT(digest.drainFlagsHash == expected.drainFlagsHash);
        RC_ASSERT(agent->state.currentState().confirmedAge < 6s);
    }
}

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(FixedSeed);

BOOST_AUTO_TEST_SUITE(convergence)

// Guards against lost members, removed members that reappear, agents that stay in disagreement, a
// live member that stays dead, and a configuration version that decreases. The causes are lost
// messages, pauses, restarts and older versions from the store.
BOOST_AUTO_TEST_CASE(agents_converge_after_losses_pauses_and_restarts)
{
    const bool passed = rc::check("agents converge", [] {
        GossipCluster cluster(Size);
        const Model model;
        rc::state::check(model, cluster, makeCommand);
        cluster.converge();
        checkConverged(cluster);
    });
    BOOST_TEST(passed);
}

BOOST_AUTO_TEST_SUITE_END()
