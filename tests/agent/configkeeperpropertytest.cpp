#include "keepersimulation.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <rapidcheck/state.h>
#include <thread>

#include <cstdlib>

using namespace bronzeshed;

namespace {

constexpr std::size_t Keepers = 3;
/** Close to the limit of audit entries, so that changes also move entries to an archive page. */
constexpr std::size_t SeedEntries = 996;

/** Fixes the seed, so that the test result is repeatable. */
struct FixedSeed
{
    FixedSeed() { ::setenv("RC_PARAMS", "seed=20261204 max_success=100", 0); }
};

BOOST_TEST_GLOBAL_FIXTURE(FixedSeed);

enum class Action { Apply, ApplyStale, Race, Leave, Gossip, Toggle, RollBack, Late, Maintain };

/** Model state: the highest version at each agent. */
struct Versions
{
    std::vector<ConfigVersion> highest = std::vector<ConfigVersion>(Keepers);
};

void checkInvariants(KeeperSimulation &simulation)
{
    for (const auto &agent : simulation.agents) {
        const std::set<std::string> ids = simulation.auditIds(agent->newest);
        for (const auto &[id, version] : simulation.accepted) {
            RC_ASSERT(agent->newest.version < version || ids.contains(id));
        }
        for (const std::string &id : simulation.rejected) {
            RC_ASSERT(!ids.contains(id));
        }
    }
    RC_ASSERT(serializeConfigRecord(simulation.agents[0]->newest).size()
              <= ConfigHistory::MaxRecordBytes);
}

void race(KeeperSimulation &simulation, std::size_t keeper, unsigned target)
{
    const std::size_t other = (keeper + 1) % Keepers;
    const ConfigVersion base = simulation.agents[keeper]->newest.version;
    std::optional<ChangeResult> concurrent;
    // The concurrent change runs on its own thread, as in production: two agents share no locks.
    simulation.store.beforeSwap = [&] {
        std::thread([&] { concurrent = simulation.apply(other, base, target + 1); }).join();
    };
    const ChangeResult own = simulation.apply(keeper, base, target);
    simulation.store.beforeSwap = nullptr;
    const bool ownWon = std::holds_alternative<ChangeAccepted>(own);
    const bool concurrentWon = concurrent && std::holds_alternative<ChangeAccepted>(*concurrent);
    RC_ASSERT(!(ownWon && concurrentWon));
    if (concurrentWon && !simulation.store.down) {
        const auto *conflict = std::get_if<ChangeConflict>(&own);
        RC_ASSERT(conflict != nullptr);
        RC_ASSERT(conflict->operatorName == KeeperSimulation::name(other));
        RC_ASSERT(conflict->version == std::get<ChangeAccepted>(*concurrent).version);
    }
}

/** One random action of an operator, of the agents or of the store. */
struct Step : rc::state::Command<Versions, KeeperSimulation>
{
    Action action = *rc::gen::element(Action::Apply, Action::Apply, Action::ApplyStale,
                                      Action::Race, Action::Leave, Action::Gossip, Action::Toggle,
                                      Action::RollBack, Action::Late, Action::Maintain);
    FaultyStore::Fault fault = *rc::gen::element(
        FaultyStore::Fault::None, FaultyStore::Fault::None, FaultyStore::Fault::LoseReply,
        FaultyStore::Fault::LoseRequest, FaultyStore::Fault::ApplyLate);
    bool downAfter = *rc::gen::inRange(0, 6) == 0;
    std::size_t keeper = *rc::gen::inRange<std::size_t>(0, Keepers);
    unsigned number = *rc::gen::inRange(0U, 50U);

    void run(const Versions &, KeeperSimulation &simulation) const override
    {
        std::vector<ConfigVersion> before;
        for (const auto &agent : simulation.agents) {
            before.push_back(agent->newest.version);
        }
        simulation.store.fault = this->fault;
        simulation.store.downAfterSwap = this->downAfter;
        this->act(simulation);
        simulation.store.fault = FaultyStore::Fault::None;
        simulation.store.downAfterSwap = false;
        for (std::size_t i = 0; i < before.size(); ++i) {
            RC_ASSERT(simulation.agents[i]->newest.version >= before[i]);
        }
        checkInvariants(simulation);
    }

    void leave(KeeperSimulation &simulation) const
    {
        const bool leaving = this->number % 2 == 0;
        const ChangeResult result = simulation.leave(this->keeper, this->number / 2, leaving);
        const UpstreamId target("almanac-" + std::to_string(this->number / 2 % 3));
        if (std::holds_alternative<ChangeAccepted>(result)) {
            RC_ASSERT(simulation.agents[this->keeper]->newest.drainFlags.at(target).leaving
                      == leaving);
        }
    }

    void act(KeeperSimulation &simulation) const
    {
        const ConfigVersion version = simulation.agents[this->keeper]->newest.version;
        switch (this->action) {
        case Action::Apply:
            simulation.apply(this->keeper, version, this->number);
            break;
        case Action::ApplyStale: {
            const ConfigVersion stale(version.value() - 1);
            const ChangeResult result = simulation.apply(this->keeper, stale, this->number);
            RC_ASSERT(!std::holds_alternative<ChangeAccepted>(result));
            break;
        }
        case Action::Race:
            race(simulation, this->keeper, this->number);
            break;
        case Action::Leave:
            this->leave(simulation);
            break;
        case Action::Gossip:
            simulation.gossip();
            break;
        case Action::Toggle:
            simulation.store.down = !simulation.store.down;
            break;
        case Action::RollBack:
            simulation.store.rollBack(this->number);
            break;
        case Action::Late:
            simulation.store.applyLateSwaps();
            break;
        case Action::Maintain:
            simulation.keepers[this->keeper]->recordPending();
            simulation.keepers[this->keeper]->restoreStoredRecord();
            break;
        }
    }
};

/** Makes the store available and lets all agents converge. */
void heal(KeeperSimulation &simulation)
{
    simulation.store.down = false;
    simulation.gossip();
    simulation.keepers[0]->restoreStoredRecord();
    for (const auto &keeper : simulation.keepers) {
        simulation.gossip();
        RC_ASSERT(keeper->recordPending() == 0U);
    }
    simulation.keepers[0]->restoreStoredRecord();
    simulation.gossip();
}

} // namespace

BOOST_AUTO_TEST_SUITE(config_keeper_properties)

// Guards against an accepted change that is lost or replaced, two accepted changes with one
// version, a change that is reported as rejected but takes effect, a version that decreases, and
// lost audit entries or drain flags. The causes are concurrent changes, lost replies, swaps that
// are applied late, outages and rollbacks of the store.
BOOST_AUTO_TEST_CASE(accepted_changes_survive_a_faulty_store)
{
    const bool holds = rc::check("accepted changes stay active", [] {
        KeeperSimulation simulation(Keepers, SeedEntries);
        const auto commands
            = *rc::state::gen::commands(Versions(), rc::state::gen::execOneOfWithArgs<Step>());
        rc::state::runAll(commands, Versions(), simulation);
        heal(simulation);
        checkInvariants(simulation);
        const ConfigRecord &newest = simulation.agents[0]->newest;
        const std::set<std::string> ids = simulation.auditIds(newest);
        for (const std::string &id : simulation.unrecorded) {
            RC_ASSERT(ids.contains(id));
        }
        const ConfigRecord stored = parseConfigRecord(simulation.store.get(ConfigKey).value);
        RC_ASSERT(stored.version == newest.version);
        RC_ASSERT(stored.drainFlags == newest.drainFlags);
        for (const auto &agent : simulation.agents) {
            RC_ASSERT(agent->newest == newest);
        }
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()
