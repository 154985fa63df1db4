#include "agent/configkeeperadapter.h"
#include "agent/storereader.h"
#include "configkeeperworld.h"
#include "gossipcluster.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

using namespace bronzeshed;
using namespace std::chrono_literals;

namespace {

constexpr unsigned Size = 5;
/** An accepted version is in force everywhere within 12 s of the end of the last fault. */
constexpr unsigned ConvergenceRounds = 12;
/** The first agent compares the store with its record every 10 s, and its rewrite then spreads. */
constexpr unsigned RestoreRounds = 10;

/** The store as one agent reaches it: it is on side 0 of a partition. */
class StoreLink : public KeyValueStore
{
public:
    StoreLink(FaultyStore &store, const TestAgent &agent)
        : store(store)
        , agent(agent)
    {
    }

    StoredValue get(const std::string &key) override
    {
        if (this->agent.side != 0) {
            throw UnavailableError("the store is on the other side", "wait");
        }
        return this->store.get(key);
    }
    std::optional<StoredValue> watch(const std::string &key, std::uint64_t revision) override
    {
        const StoredValue stored = this->get(key);
        return stored.revision > revision ? std::optional(stored) : std::nullopt;
    }
    SwapResult compareAndSwap(const std::string &key, std::uint64_t revision,
                              const std::string &value) override
    {
        return this->agent.side == 0 ? this->store.compareAndSwap(key, revision, value)
                                     : SwapResult::Unknown;
    }

private:
    FaultyStore &store;
    const TestAgent &agent;
};

/** The parts of an agent that use the store. */
struct StoreUser
{
    StoreUser(FaultyStore &store, TestAgent &agent, const Clock &clock)
        : link(store, agent)
        , adapter(agent.state)
        , keeper(adapter, link, agent.random, [this] { return ++this->time; })
        , reader(clock, agent.random, link, agent.state, counters, [] { return false; })
    {
    }

    StoreLink link;
    ConfigKeeperAdapter adapter;
    std::int64_t time = 0;
    ConfigKeeper keeper;
    ControlCounters counters;
    StoreReader reader;
    TimePoint nextStep;
};

/** Whole agents without sockets, on two sides of a partition, over one store. */
struct PartitionWorld
{
    GossipCluster cluster{Size};
    FaultyStore store;
    std::vector<std::unique_ptr<StoreUser>> users{Size};
    std::map<ConfigVersion, std::string> writes; ///< write id of each version seen anywhere
    std::vector<ConfigVersion> lowest = std::vector<ConfigVersion>(Size);
    DrainFlags given; ///< marks that operators were told are in force
    unsigned lastId = 0;
    unsigned rounds = 0;

    PartitionWorld()
    {
        for (unsigned i = 0; i < Size; ++i) {
            this->connect(i);
        }
        this->apply(0);
        this->run(2);
    }

    AgentState &state(unsigned index) { return this->cluster.agents[index]->state; }
    ConfigRecord stored() { return parseConfigRecord(this->store.values[ConfigKey].value); }

    void connect(unsigned index)
    {
        InstanceSnapshot list;
        list.upstreams.resize(3);
        for (unsigned i = 0; i < 3; ++i) {
            list.upstreams[i].id = UpstreamId("almanac-" + std::to_string(i));
        }
        for (const auto &agent : this->cluster.agents) {
            list.agents.push_back(agent->endpoint);
        }
        this->state(index).adoptInstances(list);
        this->users[index] = std::make_unique<StoreUser>(this->store, *this->cluster.agents[index],
                                                         this->cluster.clock);
    }

    void apply(unsigned index)
    {
        const std::string id = "write-" + std::to_string(++this->lastId);
        const auto result = this->users[index]->keeper.apply(
            KeeperWorld::declaration(this->lastId), this->state(index).record().version, "a", id);
        if (const auto *change = std::get_if<ChangeAccepted>(&result)) {
            this->note(change->version, id);
        }
    }

    void mark(unsigned index, unsigned number, bool leaving)
    {
        const UpstreamId upstream("almanac-" + std::to_string(number));
        const auto result = setLeaving(this->users[index]->keeper, upstream, leaving, "m",
                                       "write-" + std::to_string(++this->lastId));
        RC_ASSERT(!std::holds_alternative<ChangeRefused>(result));
        const DrainFlag now = this->state(index).record().drainFlags.at(upstream);
        RC_ASSERT(now.leaving == leaving);
        mergeDrainFlags(this->given, {{upstream, now}});
    }

    void restart(unsigned index)
    {
        this->users[index].reset();
        this->cluster.restart(index, true);
        this->connect(index);
        this->lowest[index] = ConfigVersion(0);
        this->forgetLostMarks();
    }

    /** A mark that neither an agent nor the store holds any more has to be given again. */
    void forgetLostMarks()
    {
        DrainFlags held = this->stored().drainFlags;
        for (unsigned i = 0; i < Size; ++i) {
            mergeDrainFlags(held, this->state(i).record().drainFlags);
        }
        std::erase_if(this->given, [&](const auto &item) {
            return !held.contains(item.first) || supersedes(item.second, held[item.first]);
        });
    }

    void run(unsigned seconds)
    {
        for (unsigned second = 0; second < seconds; ++second, ++this->rounds) {
            this->cluster.pass(1s, 500ms);
            for (unsigned i = 0; i < Size; ++i) {
                if (!this->cluster.agents[i]->paused) {
                    this->runAgent(i);
                }
            }
            this->check();
        }
    }

    void runAgent(unsigned index)
    {
        StoreUser &user = *this->users[index];
        const TimePoint now = this->cluster.clock.now();
        if (now >= user.nextStep) {
            user.nextStep = now + user.reader.step();
        }
        user.keeper.recordPending();
        if (this->rounds % RestoreRounds == 0) {
            user.keeper.restoreStoredRecord();
        }
        this->cluster.gossipRound(index);
    }

    void note(ConfigVersion version, const std::string &writeId)
    {
        RC_ASSERT(this->writes.emplace(version, writeId).first->second == writeId);
    }

    void check()
    {
        for (unsigned i = 0; i < Size; ++i) {
            const ConfigRecord record = this->state(i).record();
            RC_ASSERT(record.version >= this->lowest[i]);
            this->lowest[i] = record.version;
            this->note(record.version, record.writeId);
        }
        this->note(this->stored().version, this->stored().writeId);
    }

    void checkMembers()
    {
        for (unsigned i = 0; i < Size; ++i) {
            const auto members = withoutDead(this->state(i).members());
            RC_ASSERT(members.size() == Size);
            for (const Member &member : members) {
                RC_ASSERT(member.state == MemberState::Alive);
            }
        }
    }

    void checkConverged()
    {
        const ConfigRecord expected = this->state(0).record();
        for (unsigned i = 0; i < Size; ++i) {
            const ConfigRecord record = this->state(i).record();
            RC_ASSERT(record.version == expected.version);
            RC_ASSERT(record.declarationText == expected.declarationText);
            RC_ASSERT(record.drainFlags == expected.drainFlags);
        }
        for (const auto &[upstream, mark] : this->given) {
            RC_ASSERT(expected.drainFlags.contains(upstream));
            RC_ASSERT(!supersedes(mark, expected.drainFlags.at(upstream)));
        }
    }
};

enum class Action { Apply, Mark, Run, RunLong, Partition, FallBack, Toggle, Pause, Restart };

struct NoModel
{
};

/** One action of an operator, the network, the store or an instance. */
struct Step : rc::state::Command<NoModel, PartitionWorld>
{
    Action action = *rc::gen::element(
        Action::Apply, Action::Apply, Action::Mark, Action::Run, Action::Run, Action::RunLong,
        Action::Partition, Action::FallBack, Action::Toggle, Action::Pause, Action::Restart);
    unsigned index = *rc::gen::inRange(0U, Size);
    unsigned number = *rc::gen::inRange(0U, 1U << Size);

    void show(std::ostream &out) const override
    {
        out << static_cast<int>(this->action) << " at " << this->index << ", " << this->number;
    }
    void run(const NoModel & /*model*/, PartitionWorld &world) const override
    {
        this->act(world);
        world.check();
    }

    void act(PartitionWorld &world) const
    {
        TestAgent &agent = *world.cluster.agents[this->index];
        switch (this->action) {
        case Action::Apply:
            return agent.paused ? void() : world.apply(this->index);
        case Action::Mark:
            return agent.paused ? void()
                                : world.mark(this->index, this->number % 3, this->number % 2 == 0);
        case Action::Run:
            return world.run(1 + this->number % 8);
        case Action::RunLong:
            // Longer than dead members are remembered.
            return world.cluster.pass(11min, 500ms);
        case Action::Partition:
            for (unsigned i = 0; i < Size; ++i) {
                world.cluster.agents[i]->side = this->number >> i & 1U;
            }
            return;
        case Action::FallBack:
            world.store.fallBack(this->number);
            return world.forgetLostMarks();
        case Action::Toggle:
            world.store.down = !world.store.down;
            return;
        case Action::Pause:
            agent.paused = !agent.paused;
            return;
        case Action::Restart:
            return world.restart(this->index);
        }
    }
};

/** Heals everything, with one more fault for a few seconds meanwhile. */
void heal(PartitionWorld &world)
{
    const unsigned index = *rc::gen::inRange(0U, Size);
    const auto fault = *rc::gen::element(Action::Restart, Action::Pause, Action::Toggle);
    for (const auto &agent : world.cluster.agents) {
        agent->side = 0;
        agent->paused = false;
    }
    world.store.down = fault == Action::Toggle;
    world.cluster.agents[index]->paused = fault == Action::Pause;
    world.run(*rc::gen::inRange(0U, 6U));
    if (fault == Action::Restart) {
        world.restart(index);
    }
    world.store.down = false;
    world.cluster.agents[index]->paused = false;
}

} // namespace

BOOST_AUTO_TEST_SUITE(partition)

// Guards against two changes under one version, a version that goes down, a lost leave mark, and
// sides that disagree for good after a partition, also with a second fault while it heals.
BOOST_AUTO_TEST_CASE(sides_converge_after_partitions_and_a_fallen_back_store)
{
    const bool passed = rc::check("sides converge", [] {
        PartitionWorld world;
        const NoModel model;
        rc::state::check(model, world, rc::state::gen::execOneOfWithArgs<Step>());
        heal(world);
        world.run(ConvergenceRounds);
        world.checkConverged();
        world.run(RestoreRounds + 2);
        world.checkConverged();
        world.checkMembers();
        RC_ASSERT(world.stored().version == world.state(0).record().version);
        RC_ASSERT(world.stored().drainFlags == world.state(0).record().drainFlags);
    });
    BOOST_TEST(passed);
}

BOOST_AUTO_TEST_SUITE_END()
