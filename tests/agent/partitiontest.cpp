#include "agent/configkeeperadapter.h"
#include "agent/storereader.h"
#include "gossipcluster.h"
#include "keepersimulation.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

using namespace bronzeshed;
using namespace std::chrono_literals;

namespace {

constexpr unsigned Size = 5;
/** An accepted version is active on every agent within 12 s of the end of the last fault. */
constexpr unsigned ConvergenceRounds = 12;
/** The first agent compares the store with its record every 10 s, then others get its rewrite. */
constexpr unsigned RestoreRounds = 10;

/** Connection of one agent to the store, which is on side 0 of a partition. */
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
            throw UnavailableError("the store is on the other side of the partition", "wait");
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

/** The components of an agent that use the store. */
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

/** Complete agents without sockets, on two sides of a partition, with one store. */
struct PartitionSimulation
{
    GossipCluster cluster{Size};
    FaultyStore store;
    std::vector<std::unique_ptr<StoreUser>> users{Size};
    std::map<ConfigVersion, std::string>
        writes; ///< write id of each version found at an agent or in the store
    std::vector<ConfigVersion> lowest = std::vector<ConfigVersion>(Size);
    DrainFlags confirmedFlags; ///< drain flags that were reported to operators as active
    unsigned lastId = 0;
    unsigned rounds = 0;

    PartitionSimulation()
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
        const auto result
            = this->users[index]->keeper.apply(KeeperSimulation::declaration(this->lastId),
                                               this->state(index).record().version, "a", id);
        if (const auto *change = std::get_if<ChangeAccepted>(&result)) {
            this->recordWrite(change->version, id);
        }
    }

    void setDrainFlag(unsigned index, unsigned number, bool leaving)
    {
        const UpstreamId upstream("almanac-" + std::to_string(number));
        const auto result = setLeaving(this->users[index]->keeper, upstream, leaving, "m",
                                       "write-" + std::to_string(++this->lastId));
        RC_ASSERT(!std::holds_alternative<ChangeRefused>(result));
        const DrainFlag flag = this->state(index).record().drainFlags.at(upstream);
        RC_ASSERT(flag.leaving == leaving);
        mergeDrainFlags(this->confirmedFlags, {{upstream, flag}});
    }

    void restart(unsigned index)
    {
        this->users[index].reset();
        this->cluster.restart(index, true);
        this->connect(index);
        this->lowest[index] = ConfigVersion(0);
        this->discardLostFlags();
    }

    /** Discards flags that neither an agent nor the store holds; operators must set these again. */
    void discardLostFlags()
    {
        DrainFlags held = this->stored().drainFlags;
        for (unsigned i = 0; i < Size; ++i) {
            mergeDrainFlags(held, this->state(i).record().drainFlags);
        }
        std::erase_if(this->confirmedFlags, [&](const auto &item) {
            return !held.contains(item.first) || supersedes(item.second, held[item.first]);
        });
    }

    void run(unsigned seconds)
    {
        for (unsigned second = 0; second < seconds; ++second, ++this->rounds) {
            this->cluster.advanceTime(1s, 500ms);
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

    void recordWrite(ConfigVersion version, const std::string &writeId)
    {
        RC_ASSERT(this->writes.emplace(version, writeId).first->second == writeId);
    }

    void check()
    {
        for (unsigned i = 0; i < Size; ++i) {
            const ConfigRecord record = this->state(i).record();
            RC_ASSERT(record.version >= this->lowest[i]);
            this->lowest[i] = record.version;
            this->recordWrite(record.version, record.writeId);
        }
        this->recordWrite(this->stored().version, this->stored().writeId);
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
        for (const auto &[upstream, flag] : this->confirmedFlags) {
            RC_ASSERT(expected.drainFlags.contains(upstream));
            RC_ASSERT(!supersedes(flag, expected.drainFlags.at(upstream)));
        }
    }
};

enum class Action {
    Apply,
    SetDrainFlag,
    Run,
    RunLong,
    Partition,
    RollBack,
    Toggle,
    Pause,
    Restart
};

struct EmptyModel
{
};

/** One random action of an operator, the network, the store or an instance. */
struct Step : rc::state::Command<EmptyModel, PartitionSimulation>
{
    Action action
        = *rc::gen::element(Action::Apply, Action::Apply, Action::SetDrainFlag, Action::Run,
                            Action::Run, Action::RunLong, Action::Partition, Action::RollBack,
                            Action::Toggle, Action::Pause, Action::Restart);
    unsigned index = *rc::gen::inRange(0U, Size);
    unsigned number = *rc::gen::inRange(0U, 1U << Size);

    void show(std::ostream &out) const override
    {
        out << static_cast<int>(this->action) << " at " << this->index << ", " << this->number;
    }
    void run(const EmptyModel & /*model*/, PartitionSimulation &simulation) const override
    {
        this->act(simulation);
        simulation.check();
    }

    void act(PartitionSimulation &simulation) const
    {
        TestAgent &agent = *simulation.cluster.agents[this->index];
        switch (this->action) {
        case Action::Apply:
            return agent.paused ? void() : simulation.apply(this->index);
        case Action::SetDrainFlag:
            return agent.paused
                ? void()
                : simulation.setDrainFlag(this->index, this->number % 3, this->number % 2 == 0);
        case Action::Run:
            return simulation.run(1 + this->number % 8);
        case Action::RunLong:
            // Exceeds the time for which agents keep dead members.
            return simulation.cluster.advanceTime(11min, 500ms);
        case Action::Partition:
            for (unsigned i = 0; i < Size; ++i) {
                simulation.cluster.agents[i]->side = this->number >> i & 1U;
            }
            return;
        case Action::RollBack:
            simulation.store.rollBack(this->number);
            return simulation.discardLostFlags();
        case Action::Toggle:
            simulation.store.down = !simulation.store.down;
            return;
        case Action::Pause:
            agent.paused = !agent.paused;
            return;
        case Action::Restart:
            return simulation.restart(this->index);
        }
    }
};

/** Ends all faults, with one more fault injected within the first 5 s. */
void heal(PartitionSimulation &simulation)
{
    const unsigned index = *rc::gen::inRange(0U, Size);
    const auto fault = *rc::gen::element(Action::Restart, Action::Pause, Action::Toggle);
    for (const auto &agent : simulation.cluster.agents) {
        agent->side = 0;
        agent->paused = false;
    }
    simulation.store.down = fault == Action::Toggle;
    simulation.cluster.agents[index]->paused = fault == Action::Pause;
    simulation.run(*rc::gen::inRange(0U, 6U));
    if (fault == Action::Restart) {
        simulation.restart(index);
    }
    simulation.store.down = false;
    simulation.cluster.agents[index]->paused = false;
}

} // namespace

BOOST_AUTO_TEST_SUITE(partition)

// Guards against two changes with one version, a version that decreases, a lost drain flag, and
// agents that stay in disagreement after a partition. The causes are partitions, outages and
// rollbacks of the store, pauses and restarts, also with a second fault while a partition ends.
BOOST_AUTO_TEST_CASE(sides_converge_after_partitions_and_a_store_rollback)
{
    const bool passed = rc::check("sides converge", [] {
        PartitionSimulation simulation;
        const EmptyModel model;
        rc::state::check(model, simulation, rc::state::gen::execOneOfWithArgs<Step>());
        heal(simulation);
        simulation.run(ConvergenceRounds);
        simulation.checkConverged();
        simulation.run(RestoreRounds + 2);
        simulation.checkConverged();
        simulation.checkMembers();
        RC_ASSERT(simulation.stored().version == simulation.state(0).record().version);
        RC_ASSERT(simulation.stored().drainFlags == simulation.state(0).record().drainFlags);
    });
    BOOST_TEST(passed);
}

BOOST_AUTO_TEST_SUITE_END()
