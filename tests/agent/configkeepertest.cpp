#include "agent/agentstate.h"
#include "keepersimulation.h"

#include <boost/test/unit_test.hpp>

using namespace bronzeshed;

namespace {

const ConfigVersion First(1);

template<typename Expected>
Expected expectResult(const ChangeResult &result)
{
    BOOST_REQUIRE(std::holds_alternative<Expected>(result));
    return std::get<Expected>(result);
}

} // namespace

BOOST_AUTO_TEST_SUITE(config_keeper)

// Guards against changes that are reported wrongly or made twice. The store loses the reply or the
// request of a swap, or applies the swap late, so that the keeper must read the outcome back.
BOOST_AUTO_TEST_CASE(lost_replies_are_resolved_by_reading_back)
{
    using Fault = FaultyStore::Fault;
    for (const Fault fault : {Fault::LoseReply, Fault::LoseRequest, Fault::ApplyLate}) {
        KeeperSimulation simulation(1);
        simulation.store.fault = fault;
        BOOST_TEST(expectResult<ChangeAccepted>(simulation.apply(0, First, 5)).version.value()
                   == 2U);
        const std::uint64_t revision = simulation.store.get(ConfigKey).revision;
        simulation.store.applyLateSwaps();
        BOOST_TEST(simulation.store.get(ConfigKey).revision == revision);
        BOOST_TEST(simulation.agents[0]->newest.audit.size() == 1U);
    }
    // Another agent received the change before the store was rolled back, so reporting a conflict
    // would be wrong.
    KeeperSimulation simulation(2);
    simulation.store.fault = Fault::RollBack;
    expectResult<ChangeUnknown>(simulation.apply(0, First, 5));
}

// Guards against reporting an outcome that the store did not confirm. The store loses the reply to
// a swap and then becomes unavailable, so that the outcome cannot be read back.
BOOST_AUTO_TEST_CASE(unreadable_outcome_is_unknown_with_its_write_id)
{
    KeeperSimulation simulation(1);
    simulation.store.fault = FaultyStore::Fault::LoseReply;
    simulation.store.downAfterSwap = true;
    const ChangeResult result
        = simulation.keepers[0]->apply(KeeperSimulation::declaration(5), First, "anna", "my-id");
    BOOST_TEST(expectResult<ChangeUnknown>(result).writeId == "my-id");
    simulation.store.down = false;
    // The repeated request finds its own audit entry and makes no second change.
    const ChangeResult again
        = simulation.keepers[0]->apply(KeeperSimulation::declaration(5), First, "anna", "my-id");
    BOOST_TEST(expectResult<ChangeAccepted>(again).version.value() == 2U);
}

// Guards against refused changes that modify the store, and against outages of the store that are
// reported as conflicts.
BOOST_AUTO_TEST_CASE(outage_and_invalid_input_change_nothing)
{
    KeeperSimulation simulation(1);
    const std::uint64_t revision = simulation.store.get(ConfigKey).revision;
    expectResult<ChangeRefused>(simulation.keepers[0]->apply("x = 1", First, "anna"));
    expectResult<ChangeRefused>(
        simulation.keepers[0]->apply(KeeperSimulation::declaration(1), First, ""));
    expectResult<ChangeRefused>(
        setLeaving(*simulation.keepers[0], UpstreamId("nobody"), true, "anna"));
    const ChangeConflict conflict
        = expectResult<ChangeConflict>(simulation.apply(0, ConfigVersion(9), 1));
    BOOST_TEST(conflict.version.value() == 1U);
    simulation.store.down = true;
    expectResult<StoreUnavailable>(simulation.apply(0, First, 5));
    simulation.store.down = false;
    BOOST_TEST(simulation.store.get(ConfigKey).revision == revision);
}

// Guards against a change based on a record that lacks changes accepted by other agents. The agent
// has not received the last version, and the store was rolled back to the one before.
BOOST_AUTO_TEST_CASE(agent_with_an_outdated_record_accepts_no_change)
{
    KeeperSimulation simulation(2);
    expectResult<ChangeAccepted>(simulation.apply(1, First, 5));
    simulation.store.rollBack(0);
    const auto failure = expectResult<StoreUnavailable>(simulation.apply(0, First, 6));
    BOOST_TEST(failure.error.find("version 2") != std::string::npos);
    // The agent with the newest record bases its next change on that record, whatever the store
    // holds. The rollback used revision 3 of the store.
    BOOST_TEST(
        expectResult<ChangeAccepted>(simulation.apply(1, ConfigVersion(2), 7)).version.value()
        == 4U);
    simulation.store.rollBack(0);
    BOOST_TEST(!simulation.keepers[0]->restoreStoredRecord());
    simulation.gossip();
    BOOST_TEST(!simulation.keepers[1]->restoreStoredRecord()); // not the first agent
    BOOST_TEST(simulation.keepers[0]->restoreStoredRecord());
    BOOST_TEST(parseConfigRecord(simulation.store.get(ConfigKey).value).version.value() == 4U);
}

// Guards against drain flags that take effect only after the store has them, or that are lost, when
// the store is unavailable while the operator sets them.
BOOST_AUTO_TEST_CASE(drain_flag_is_active_before_it_is_recorded)
{
    KeeperSimulation simulation(1);
    simulation.store.down = true;
    expectResult<DrainFlagActive>(simulation.leave(0, 1, true));
    BOOST_TEST(simulation.agents[0]->newest.drainFlags.at(UpstreamId("almanac-1")).leaving);
    BOOST_TEST(simulation.keepers[0]->recordPending() == 1U);
    simulation.store.down = false;
    BOOST_TEST(simulation.keepers[0]->recordPending() == 0U);
    const ConfigRecord stored = parseConfigRecord(simulation.store.get(ConfigKey).value);
    BOOST_TEST(stored.drainFlags.at(UpstreamId("almanac-1")).leaving);
    BOOST_TEST(stored.audit.back().action == "leave almanac-1");
}

// Guards against an accepted command that is overridden by an older command of another agent, and
// against agents that keep different drain flags when two flags have the same counter.
BOOST_AUTO_TEST_CASE(later_drain_flag_wins_and_ties_are_resolved_identically)
{
    KeeperSimulation simulation(2);
    expectResult<ChangeAccepted>(simulation.leave(0, 1, true));
    expectResult<ChangeAccepted>(simulation.leave(1, 1, false));
    BOOST_TEST(!simulation.agents[1]->newest.drainFlags.at(UpstreamId("almanac-1")).leaving);

    const DrainFlags leave{{UpstreamId("almanac-1"), {1, true}}};
    const DrainFlags back{{UpstreamId("almanac-1"), {1, false}}};
    SystemClock clock;
    Wakeup wakeup;
    for (const auto &[first, second] : {std::pair(leave, back), std::pair(back, leave)}) {
        AgentState state(clock, {}, wakeup);
        state.adoptDrainFlags(first);
        state.adoptDrainFlags(second);
        BOOST_TEST((state.record().drainFlags == leave));
    }
}

// Guards against a record that is filled by drain flags of removed upstreams, so that every further
// change is refused.
BOOST_AUTO_TEST_CASE(drain_flags_beyond_the_limit_are_refused_with_a_remedy)
{
    KeeperSimulation simulation(1);
    expectResult<ChangeAccepted>(simulation.leave(0, 1, true));
    DrainFlags &flags = simulation.agents[0]->newest.drainFlags;
    while (flags.size() < ConfigHistory::MaxDrainFlags) {
        flags[UpstreamId("old-" + std::to_string(flags.size()))] = {1, true};
    }
    const std::string error = expectResult<ChangeRefused>(simulation.leave(0, 2, true)).error;
    BOOST_TEST(error.find("repeat when marks of removed upstreams have lapsed") < error.size());
    expectResult<ChangeAccepted>(simulation.leave(0, 1, false));
}

// Guards against audit entries that are removed from the record before their archive page is
// written. The page number in the record is already used in the store.
BOOST_AUTO_TEST_CASE(page_is_written_before_entries_are_trimmed)
{
    KeeperSimulation simulation(1, ConfigHistory::MaxAuditEntries);
    simulation.store.values[auditPageKey(0)] = {1, "[]"}; // a page that the record does not include
    expectResult<ChangeAccepted>(simulation.apply(0, First, 5));
    BOOST_TEST(simulation.agents[0]->newest.audit.size() == 501U);
    BOOST_TEST(parseAuditEntries(simulation.store.get(auditPageKey(1)).value).size() == 500U);
    BOOST_TEST(simulation.agents[0]->newest.archivedPages == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
