#include "entry/ownincarnation.h"
#include "gossipcluster.h"

#include <boost/test/unit_test.hpp>

using namespace bronzeshed;

namespace {

std::uint64_t incarnationAt(std::int64_t startMs)
{
    return static_cast<std::uint64_t>(startMs) << IncarnationRandomBits;
}

} // namespace

BOOST_AUTO_TEST_SUITE(incarnation)

// Guards against an entry that is treated as its former process, or that issues tickets before it
// has a higher incarnation. The wall clock of the instance was set back before the entry restarted.
// The agent either holds the former incarnation or receives it from a peer later.
BOOST_AUTO_TEST_CASE(rises_above_the_former_process_before_it_is_used)
{
    for (const bool agentHasFormer : {true, false}) {
        GossipCluster cluster(2);
        TestAgent &agent = *cluster.agents[0];
        agent.status.incarnation = Incarnation(incarnationAt(1000));
        agent.report();
        cluster.converge();
        SeededRandom random(1);
        OwnIncarnation incarnation(Incarnation(incarnationAt(400)), agent.status.callerEndpoint);
        agent.status.incarnation = incarnation.value();
        agent.report();
        if (!agentHasFormer) {
            cluster.restart(0, false);
            cluster.converge();
        }
        TestAgent &own = *cluster.agents[0];
        auto members = own.state.currentState().members;
        BOOST_TEST(incarnation.update(members, random));
        BOOST_TEST(!incarnation.isPublished());
        BOOST_TEST(members.size() == 1U); // tickets must not name the former process
        BOOST_TEST(incarnationStartMs(incarnation.value()) == 1001);
        own.status.incarnation = incarnation.value();
        own.report();
        members = own.state.currentState().members;
        BOOST_TEST(!incarnation.update(members, random));
        BOOST_TEST(incarnation.isPublished());
        cluster.converge();
        const Member seen = cluster.agents[1]->state.members().at(0);
        BOOST_CHECK(seen.incarnation == incarnation.value() && seen.state == MemberState::Alive);
    }
}

BOOST_AUTO_TEST_SUITE_END()
