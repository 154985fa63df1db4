#include "membership/gossipplanner.h"
#include "membership/storewatchers.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

using namespace bronzeshed;
using namespace std::chrono_literals;

namespace {

std::vector<Member> makeMembers(unsigned count, MemberState state = MemberState::Alive)
{
    std::vector<Member> members(count);
    for (unsigned i = 0; i < count; ++i) {
        members[i].id = InstanceId("i" + std::to_string(i));
        members[i].agentEndpoint = {"10.0.0.1", static_cast<std::uint16_t>(i + 1)};
        members[i].region = RegionName(i % 2 == 0 ? "even" : "odd");
        members[i].state = state;
    }
    return members;
}

} // namespace

BOOST_AUTO_TEST_SUITE(gossip_decisions)

// Guards against tables that never converge because the rounds skip some peers or always call the
// same ones.
BOOST_AUTO_TEST_CASE(calls_all_peers_in_turn)
{
    SeededRandom random(1);
    GossipPlanner planner(random);
    std::map<Endpoint, unsigned> calls;
    for (unsigned round = 0; round < 10; ++round) {
        const auto targets = planner.exchangeTargets(makeMembers(10), {});
        BOOST_TEST(targets.size() == ExchangeFanout);
        for (const Endpoint &target : targets) {
            ++calls[target];
        }
    }
    BOOST_TEST(calls.size() == 10U);
    for (const auto &[target, count] : calls) {
        BOOST_TEST(count == 2U, target.toString() << " was called " << count << " times");
    }
}

// Guards against an agent that stays isolated after its start, when it has no members yet, or after
// a partition, when it lists the members of the other side as dead.
BOOST_AUTO_TEST_CASE(calls_seeds)
{
    SeededRandom random(1);
    GossipPlanner planner(random);
    const std::vector<Endpoint> seeds{{"10.0.0.9", 1}, {"10.0.0.9", 1}};
    BOOST_TEST(planner.exchangeTargets({}, seeds).size() == 1U);
    BOOST_TEST(planner.pushTargets({}, seeds).size() == 1U);
    std::set<Endpoint> called;
    for (unsigned round = 0; round < 2 * RoundsPerProbe; ++round) {
        auto members = makeMembers(3);
        members[2].state = MemberState::Dead;
        for (const Endpoint &target : planner.exchangeTargets(members, seeds)) {
            called.insert(target);
        }
    }
    BOOST_TEST(called.contains(seeds[0]));
    BOOST_TEST(called.contains(Endpoint{"10.0.0.1", 3}));
}

// Guards against a live peer declared dead after one lost call: in a large fleet, it would receive
// the suspicion too late to refute it unless the next round calls it again.
BOOST_AUTO_TEST_CASE(calls_a_failed_peer_in_the_next_round)
{
    SeededRandom random(1);
    GossipPlanner planner(random);
    const auto members = makeMembers(40);
    for (unsigned i = 0; i < 10; ++i) {
        planner.retryNextRound(members[i].agentEndpoint);
        BOOST_TEST(planner.exchangeTargets(members, {}).front().toString()
                   == members[i].agentEndpoint.toString());
    }
}

// Guards against a push that wastes calls on dead members or calls the same peer twice, and so
// reaches fewer members per round.
BOOST_AUTO_TEST_CASE(pushes_to_three_live_peers)
{
    SeededRandom random(1);
    GossipPlanner planner(random);
    auto members = makeMembers(5);
    members[0].state = MemberState::Dead;
    std::set<Endpoint> reached;
    for (unsigned i = 0; i < 50; ++i) {
        const auto targets = planner.pushTargets(members, {});
        BOOST_TEST(std::set<Endpoint>(targets.begin(), targets.end()).size() == PushFanout);
        reached.insert(targets.begin(), targets.end());
    }
    BOOST_TEST(reached.size() == 4U);
    BOOST_TEST(!reached.contains(members[0].agentEndpoint));
}

// Guards against store watches that grow in number with the fleet, and against a region without a
// watch after its watching agents died or before its first agent is a member.
BOOST_AUTO_TEST_CASE(two_agents_of_each_region_watch)
{
    auto members = makeMembers(20);
    std::map<RegionName, unsigned> watchers;
    const auto count = [&] {
        watchers.clear();
        for (const Member &member : members) {
            watchers[member.region]
                += holdsStoreWatch("key", member.id, member.region, members) ? 1 : 0;
        }
    };
    count();
    BOOST_TEST(watchers[RegionName("even")] == 2U);
    BOOST_TEST(watchers[RegionName("odd")] == 2U);
    for (Member &member : members) {
        if (holdsStoreWatch("key", member.id, member.region, members)) {
            member.state = MemberState::Dead;
        }
    }
    std::erase_if(members, [](const Member &member) { return member.state == MemberState::Dead; });
    count();
    BOOST_TEST(watchers[RegionName("even")] == 2U);
    BOOST_TEST(holdsStoreWatch("key", InstanceId("new"), RegionName("empty"), members));
    BOOST_TEST(!holdsStoreWatch("key", InstanceId("new"), RegionName("odd"), members));
}

// Guards against load peaks at the store: all agents start at the same time and read at the same
// interval, or retry at once when the store recovers.
BOOST_AUTO_TEST_CASE(store_calls_are_jittered)
{
    SeededRandom random(1);
    std::set<Duration> periods;
    for (unsigned i = 0; i < 20; ++i) {
        const Duration period = storeReadDelay(random);
        BOOST_TEST((period >= 54s && period <= 66s));
        periods.insert(period);
    }
    BOOST_TEST(periods.size() == 20U);
    BOOST_TEST((storeBackoff(1, random) <= 500ms));
    BOOST_TEST((storeBackoff(3, random) > 900ms));
    for (const unsigned failures : {20U, 1000000U}) {
        const Duration pause = storeBackoff(failures, random);
        BOOST_TEST((pause >= 15s && pause <= 30s));
    }
}

BOOST_AUTO_TEST_SUITE_END()
