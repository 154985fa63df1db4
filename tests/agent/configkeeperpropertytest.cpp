#include "configkeeperworld.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <rapidcheck/state.h>
#include <thread>

#include <cstdlib>

using namespace bronzeshed;

namespace {

constexpr std::size_t Keepers = 3;
/** Close to the limit, so that changes also move entries to a page. */
constexpr std::size_t SeedEntries = 996;

/** Makes the verdict repeatable. */
struct FixedSeed
{
    FixedSeed() { ::setenv("RC_PARAMS", "seed=20261204 max_success=100", 0); }
};

BOOST_TEST_GLOBAL_FIXTURE(FixedSeed);

enum class Action { Apply, ApplyStale, Race, Leave, Gossip, Toggle, FallBack, Late, Maintain };

/** Highest version seen at each agent. */
struct Versions
{
    std::vector<ConfigVersion> highest = std::vector<ConfigVersion>(Keepers);
};

void checkInvariants(KeeperWorld &world)
{
    for (const auto &agent : world.agents) {
        const std::set<std::string> ids = world.auditIds(agent->newest);
        for (const auto &[id, version] : world.accepted) {
            RC_ASSERT(agent->newest.version < version || ids.contains(id));
        }
        for (const std::string &id : world.rejected) {
            RC_ASSERT(!ids.contains(id));
        }
    }
    RC_ASSERT(serializeConfigRecord(world.agents[0]->newest).size()
              <= ConfigHistory::MaxRecordBytes);
}

void race(KeeperWorld &world, std::size_t keeper, unsigned target)
{
    const std::size_t other = (keeper + 1) % Keepers;
    const ConfigVersion base = world.agents[keeper]->newest.version;
    std::optional<ChangeResult> rival;
    // On a thread of its own, since the keepers of two agents never hold each other's locks.
    world.store.beforeSwap
        = [&] { std::thread([&] { rival = world.apply(other, base, target + 1); }).join(); };
    const ChangeResult own = world.apply(keeper, base, target);
    world.store.beforeSwap = nullptr;
    const bool ownWon = std::holds_alternative<ChangeAccepted>(own);
    const bool rivalWon = rival && std::holds_alternative<ChangeAccepted>(*rival);
    RC_ASSERT(!(ownWon && rivalWon));
    if (rivalWon && !world.store.down) {
        const auto *conflict = std::get_if<ChangeConflict>(&own);
        RC_ASSERT(conflict != nullptr);
        RC_ASSERT(conflict->operatorName == KeeperWorld::name(other));
        RC_ASSERT(conflict->version == std::get<ChangeAccepted>(*rival).version);
    }
}

/** One action of an operator, of the fleet or of the store. */
struct Step : rc::state::Command<Versions, KeeperWorld>
{
    Action action = *rc::gen::element(Action::Apply, Action::Apply, Action::ApplyStale,
                                      Action::Race, Action::Leave, Action::Gossip, Action::Toggle,
                                      Action::FallBack, Action::Late, Action::Maintain);
    FaultyStore::Fault fault = *rc::gen::element(
        FaultyStore::Fault::None, FaultyStore::Fault::None, FaultyStore::Fault::LoseReply,
        FaultyStore::Fault::LoseRequest, FaultyStore::Fault::ApplyLate);
    bool downAfter = *rc::gen::inRange(0, 6) == 0;
    std::size_t keeper = *rc::gen::inRange<std::size_t>(0, Keepers);
    unsigned number = *rc::gen::inRange(0U, 50U);

    void run(const Versions &, KeeperWorld &world) const override
    {
        std::vector<ConfigVersion> before;
        for (const auto &agent : world.agents) {
            before.push_back(agent->newest.version);
        }
        world.store.fault = this->fault;
        world.store.downAfterSwap = this->downAfter;
        this->act(world);
        world.store.fault = FaultyStore::Fault::None;
        world.store.downAfterSwap = false;
        for (std::size_t i = 0; i < before.size(); ++i) {
            RC_ASSERT(world.agents[i]->newest.version >= before[i]);
        }
        checkInvariants(world);
    }

    void leave(KeeperWorld &world) const
    {
        const bool leaving = this->number % 2 == 0;
        const ChangeResult result = world.leave(this->keeper, this->number / 2, leaving);
        const UpstreamId target("almanac-" + std::to_string(this->number / 2 % 3));
        if (std::holds_alternative<ChangeAccepted>(result)) {
            RC_ASSERT(world.agents[this->keeper]->newest.drainFlags.at(target).leaving == leaving);
        }
    }

    void act(KeeperWorld &world) const
    {
        const ConfigVersion version = world.agents[this->keeper]->newest.version;
        switch (this->action) {
        case Action::Apply:
            world.apply(this->keeper, version, this->number);
            break;
        case Action::ApplyStale: {
            const ConfigVersion stale(version.value() - 1);
            const ChangeResult result = world.apply(this->keeper, stale, this->number);
            RC_ASSERT(!std::holds_alternative<ChangeAccepted>(result));
            break;
        }
        case Action::Race:
            race(world, this->keeper, this->number);
            break;
        case Action::Leave:
            this->leave(world);
            break;
        case Action::Gossip:
            world.gossip();
            break;
        case Action::Toggle:
            world.store.down = !world.store.down;
            break;
        case Action::FallBack:
            world.store.fallBack(this->number);
            break;
        case Action::Late:
            world.store.applyLateSwaps();
            break;
        case Action::Maintain:
            world.keepers[this->keeper]->recordPending();
            world.keepers[this->keeper]->restoreStoredRecord();
            break;
        }
    }
};

/** Brings the store back and lets all agents settle. */
void heal(KeeperWorld &world)
{
    world.store.down = false;
    world.gossip();
    world.keepers[0]->restoreStoredRecord();
    for (const auto &keeper : world.keepers) {
        world.gossip();
        RC_ASSERT(keeper->recordPending() == 0U);
    }
    world.keepers[0]->restoreStoredRecord();
    world.gossip();
}

} // namespace

BOOST_AUTO_TEST_SUITE(config_keeper_properties)

// Guards against an accepted change that is lost or replaced, two winners of one version, a change
// told as rejected that took effect, versions that go down, and lost audit entries or leave marks.
BOOST_AUTO_TEST_CASE(accepted_changes_survive_a_faulty_store)
{
    const bool holds = rc::check("accepted changes stay in force", [] {
        KeeperWorld world(Keepers, SeedEntries);
        const auto commands
            = *rc::state::gen::commands(Versions(), rc::state::gen::execOneOfWithArgs<Step>());
        rc::state::runAll(commands, Versions(), world);
        heal(world);
        checkInvariants(world);
        const ConfigRecord &newest = world.agents[0]->newest;
        const std::set<std::string> ids = world.auditIds(newest);
        for (const std::string &id : world.waiting) {
            RC_ASSERT(ids.contains(id));
        }
        const ConfigRecord stored = parseConfigRecord(world.store.get(ConfigKey).value);
        RC_ASSERT(stored.version == newest.version);
        RC_ASSERT(stored.drainFlags == newest.drainFlags);
        for (const auto &agent : world.agents) {
            RC_ASSERT(agent->newest == newest);
        }
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()
