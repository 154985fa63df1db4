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

// Guards against peers that are never compared with, and against fixed pairs.
BOOST_AUTO_TEST_CASE(calls_all_peers_in_turn)
{
    SeededRandom random(1);
    GossipPlanner planner(random);
    std::map<Endpoint, unsigned> calls;
    for (unsigned round = 0; round < 10; ++round) {
        const auto targets = planner.exchangeTargets(makeMembers(10), {});
        BOOST_TEST(targets.size() == ExchangePeers);
        for (const Endpoint &target : targets) {
            ++calls[target];
        }
    }
    BOOST_TEST(calls.size() == 10U);
    for (const auto &[target, count] : calls) {
        BOOST_TEST(count == 2U, target.toString() << " was called " << count << " times");
    }
}

// Guards against an agent that never finds others, at its start or after a healed partition.
BOOST_AUTO_TEST_CASE(calls_seeds)
{
    SeededRandom random(1);
    GossipPlanner planner(random);
    const std::vector<Endpoint> seeds{{"10.0.0.9", 1}, {"10.0.0.9", 1}};
    BOOST_TEST(planner.exchangeTargets({}, seeds).size() == 1U);
    BOOST_TEST(planner.pushTargets({}, seeds).size() == 1U);
    std::set<Endpoint> called;
    for (unsigned round = 0; round < 2 * ProbeRounds; ++round) {
        auto members = makeMembers(3);
        members[2].state = MemberState::Dead;
        for (const Endpoint &target : planner.exchangeTargets(members, seeds)) {
            called.insert(target);
        }
    }
    BOOST_TEST(called.contains(seeds[0]));
    BOOST_TEST(called.contains(Endpoint{"10.0.0.1", 3}));
}

// Guards against a suspected peer that hears of the suspicion too late to refute it.
BOOST_AUTO_TEST_CASE(calls_a_failed_peer_again)
{
    SeededRandom random(1);
    GossipPlanner planner(random);
    const auto members = makeMembers(40);
    for (unsigned i = 0; i < 10; ++i) {
        planner.callAgain(members[i].agentEndpoint);
        BOOST_TEST(planner.exchangeTargets(members, {}).front().toString()
                   == members[i].agentEndpoint.toString());
    }
}

// Guards against pushes to the same peer twice or to dead ones.
BOOST_AUTO_TEST_CASE(pushes_to_three_live_peers)
{
    SeededRandom random(1);
    GossipPlanner planner(random);
    auto members = makeMembers(5);
    members[0].state = MemberState::Dead;
    std::set<Endpoint> reached;
    for (unsigned i = 0; i < 50; ++i) {
        const auto targets = planner.pushTargets(members, {});
        BOOST_TEST(std::set<Endpoint>(targets.begin(), targets.end()).size() == PushPeers);
        reached.insert(targets.begin(), targets.end());
    }
    BOOST_TEST(reached.size() == 4U);
    BOOST_TEST(!reached.contains(members[0].agentEndpoint));
}

// Guards against a store load that grows with the fleet, and against a region without a watch.
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

// Guards against reads in step and against a fleet that floods a recovering store.
BOOST_AUTO_TEST_CASE(store_calls_are_spread)
{
    SeededRandom random(1);
    std::set<Duration> periods;
    for (unsigned i = 0; i < 20; ++i) {
        const Duration period = nextStoreRead(random);
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
