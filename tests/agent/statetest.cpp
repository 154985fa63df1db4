#include "gossipcluster.h"

#include "agent/entrymonitor.h"
#include "agent/instancelistreader.h"
#include "agent/storereader.h"
#include "base/error.h"

#include <boost/test/unit_test.hpp>

using namespace bronzeshed;
using namespace std::chrono_literals;

namespace {

struct Fixture
{
    GossipCluster cluster{3};

    TestAgent &agent(unsigned index) { return *this->cluster.agents[index]; }
    MemberState stateAt(unsigned observer, unsigned index)
    {
        return this->agent(observer).state.members().at(index).state;
    }
};

/** Store whose answers are set by the test. */
struct FakeStore : KeyValueStore
{
    StoredValue get(const std::string & /*key*/) override
    {
        ++this->reads;
        if (this->down) {
            throw UnavailableError("no answer", "wait");
        }
        return this->value;
    }
    std::optional<StoredValue> watch(const std::string &key, std::uint64_t revision) override
    {
        --this->reads;
        ++this->watches;
        const StoredValue current = this->get(key);
        return current.revision > revision ? std::optional(current) : std::nullopt;
    }
    SwapResult compareAndSwap(const std::string & /*key*/, std::uint64_t /*revision*/,
                              const std::string & /*value*/) override
    {
        return SwapResult::Unknown;
    }

    StoredValue value;
    bool down = false;
    unsigned reads = 0;
    unsigned watches = 0;
};

/** Instance list that is unavailable or unchanged after the first fetch. */
struct FakeList : InstanceList
{
    std::optional<InstanceSnapshot> fetch(std::uint64_t lastRevision) override
    {
        if (this->down) {
            throw UnavailableError("no answer", "wait");
        }
        return lastRevision == 1 ? std::nullopt : std::optional(this->snapshot);
    }

    InstanceSnapshot snapshot{1, {UpstreamInfo{}}, {{"10.0.0.9", 1}}};
    bool down = false;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(agent_state, Fixture)

// Guards against lookups that name an entry after it began to drain or its connection to the agent
// closed, because the change is not pushed to the peers at once.
BOOST_AUTO_TEST_CASE(pushes_a_leaving_and_a_lost_entry_at_once)
{
    this->cluster.converge();
    for (unsigned i = 0; i < 3; ++i) {
        this->agent(i).gossip.takeUpdates();
    }
    this->agent(0).report(true);
    this->cluster.pushUpdates(0, 1);
    BOOST_TEST((this->stateAt(1, 0) == MemberState::Leaving));
    // The receiver forwards the updates that it did not have.
    this->cluster.pushUpdates(1, 2);
    BOOST_TEST((this->stateAt(2, 0) == MemberState::Leaving));
    this->agent(0).state.entryLinkClosed();
    this->cluster.clock.advance(900ms);
    this->agent(0).state.tick();
    BOOST_TEST((this->stateAt(0, 0) == MemberState::Leaving));
    this->cluster.clock.advance(100ms);
    this->agent(0).state.tick();
    this->cluster.pushUpdates(0, 1);
    BOOST_TEST((this->stateAt(1, 0) == MemberState::Dead));
    // The same process reports again after it has reconnected.
    this->agent(0).state.entryLinkOpened();
    this->agent(0).report();
    this->cluster.pushUpdates(0, 1);
    BOOST_TEST((this->stateAt(1, 0) == MemberState::Alive));
}

// Guards against an agent that reports its entry as alive although the entry is frozen or has never
// started.
BOOST_AUTO_TEST_CASE(notices_a_silent_and_a_missing_entry)
{
    ManualClock clock;
    EntryMonitor watch(clock);
    const auto checkAfter = [&](Duration time) {
        EntryLoss loss = EntryLoss::None;
        for (Duration passed{}; passed < time; passed += 500ms) {
            clock.advance(500ms);
            loss = watch.check();
        }
        return loss;
    };
    BOOST_TEST((checkAfter(4500ms) == EntryLoss::None));
    BOOST_TEST((checkAfter(500ms) == EntryLoss::NeverSeen));
    watch.linkOpened();
    watch.reported();
    BOOST_TEST((checkAfter(3500ms) == EntryLoss::None));
    BOOST_TEST((checkAfter(500ms) == EntryLoss::Silent));
    watch.reported();
    clock.advance(30s);
    BOOST_TEST((watch.check() == EntryLoss::None), "the agent itself was frozen");
}

// Guards against a version or a drain flag that reverts when an older record or flag arrives, and
// against a record that is sent to a peer without its drain flags.
BOOST_AUTO_TEST_CASE(keeps_the_higher_version_and_drain_flag)
{
    AgentState &state = this->agent(0).state;
    state.adoptRecord(makeRecord(5));
    ConfigRecord older = makeRecord(4);
    older.drainFlags[UpstreamId("u")] = {2, true};
    state.adoptRecord(older);
    BOOST_TEST(state.record().version.value() == 5U);
    BOOST_TEST(!state.adoptDrainFlags({{UpstreamId("u"), {1, false}}}));
    BOOST_TEST(state.record().drainFlags.at(UpstreamId("u")).leaving);
    InstanceSnapshot snapshot;
    snapshot.upstreams.resize(1);
    snapshot.upstreams[0].id = UpstreamId("u");
    state.adoptInstances(snapshot);
    BOOST_TEST(state.upstreams().at(0).leaving);
    BOOST_TEST(state.adoptDrainFlags({{UpstreamId("u"), {3, false}}}));
    BOOST_TEST(!state.upstreams().at(0).leaving);
    this->cluster.pushUpdates(0, 1);
    BOOST_TEST((this->agent(1).state.record() == state.record()));
}

// Guards against member records that are sent again when only the active version of an entry has
// changed, and against agents that do not forward a version that they received.
BOOST_AUTO_TEST_CASE(a_new_active_version_resends_no_member)
{
    this->cluster.converge();
    this->agent(0).status.activeConfigVersion = ConfigVersion(7);
    this->agent(0).report();
    for (const unsigned from : {0U, 1U}) {
        Gossip &caller = this->agent(from).gossip;
        Gossip &callee = this->agent(from + 1).gossip;
        const PeerDigest peerDigest = callee.digest();
        BOOST_TEST(caller.needsSync(peerDigest));
        const PeerUpdate update = caller.updateFor(peerDigest);
        BOOST_TEST(update.members.empty());
        BOOST_TEST(callee.sync(update, caller.digest()).isEmpty());
        BOOST_TEST(!caller.needsSync(callee.digest()));
    }
    BOOST_TEST(this->agent(2).state.members().at(0).configVersion.value() == 7U);
}

// Guards against an agent that reports its state as confirmed although it reaches neither its peers
// nor the store.
BOOST_AUTO_TEST_CASE(is_stale_without_contact)
{
    AgentState &state = this->agent(0).state;
    InstanceSnapshot snapshot;
    snapshot.agents = {this->agent(0).endpoint, this->agent(1).endpoint};
    state.adoptInstances(snapshot);
    this->cluster.converge();
    BOOST_TEST((state.currentState().confirmedAge <= 1s));
    for (unsigned second = 0; second < 20; ++second) {
        state.peerFailed(this->agent(1).endpoint);
        state.peerFailed(this->agent(2).endpoint);
        this->cluster.advanceTime(1s, 500ms);
    }
    BOOST_TEST((this->stateAt(0, 1) == MemberState::Dead));
    BOOST_TEST((state.currentState().confirmedAge >= 20s));
    BOOST_TEST(state.needsConfirmation());
    state.storeAnswered(this->cluster.clock.now());
    BOOST_TEST(!state.needsConfirmation());
    // The instance list of the platform no longer contains the other agents.
    snapshot.agents.pop_back();
    state.adoptInstances(snapshot);
    this->cluster.advanceTime(10s, 500ms);
    BOOST_TEST((state.currentState().confirmedAge == 0s));
}

// Guards against a record missing from the store that no agent, or more than one, writes back.
BOOST_AUTO_TEST_CASE(one_agent_is_first_for_the_configuration)
{
    this->cluster.converge();
    unsigned first = 0;
    for (unsigned i = 0; i < 3; ++i) {
        first += this->agent(i).state.isFirstForConfig() ? 1 : 0;
    }
    BOOST_TEST(first == 1U);
}

// Guards against a reader that does not keep its watch, that calls an unavailable store in a tight
// loop, or that misses a store rolled back to an older revision.
BOOST_AUTO_TEST_CASE(reads_watches_and_backs_off)
{
    FakeStore store;
    store.value = {7, serializeConfigRecord(makeRecord(3))};
    SeededRandom random(1);
    ControlCounters counters;
    AgentState &state = this->agent(0).state;
    StoreReader reader(this->cluster.clock, random, store, state, counters,
                       [&] { return store.down; });
    reader.step();
    BOOST_TEST(store.reads == 1U);
    BOOST_TEST(state.record().version.value() == 3U);
    store.value = {8, serializeConfigRecord(makeRecord(4))};
    reader.step();
    BOOST_TEST(store.watches == 1U);
    BOOST_TEST(state.record().version.value() == 4U);
    store.down = true;
    // A watch that the agent cancelled is not a failure of the store, but a failed read is one.
    BOOST_TEST((reader.step() == 0ms));
    this->cluster.clock.advance(2min);
    BOOST_TEST((reader.step() >= 250ms));
    for (unsigned i = 0; i < 10; ++i) {
        BOOST_TEST((reader.step() <= 30s));
    }
    BOOST_TEST((reader.step() >= 15s));
    store.down = false;
    store.value = {2, serializeConfigRecord(makeRecord(9))};
    reader.step();
    BOOST_TEST(state.record().version.value() == 9U);
}

// Guards against an agent that is not a store watcher and reads the store more than once a minute,
// or stops reading it.
BOOST_AUTO_TEST_CASE(reads_once_a_minute_without_a_watch)
{
    this->cluster.converge();
    FakeStore store;
    SeededRandom random(1);
    ControlCounters counters;
    unsigned index = 0;
    while (this->agent(index).state.isStoreWatcher()) {
        ++index;
    }
    StoreReader reader(this->cluster.clock, random, store, this->agent(index).state, counters,
                       [] { return false; });
    for (unsigned second = 0; second < 300; ++second) {
        reader.step();
        this->cluster.advanceTime(1s, 500ms);
        this->agent(index).state.peerAnswered({}, this->cluster.clock.now());
    }
    BOOST_TEST(store.watches == 0U);
    BOOST_TEST(store.reads >= 5U);
    BOOST_TEST(store.reads <= 6U);
}

// Guards against upstreams and seeds that are removed while the instance list is unavailable.
BOOST_AUTO_TEST_CASE(keeps_the_last_list)
{
    FakeList list;
    ControlCounters counters;
    AgentState &state = this->agent(0).state;
    InstanceListReader reader(this->cluster.clock, list, state, counters);
    BOOST_TEST((reader.step() == 2s));
    list.down = true;
    reader.step();
    BOOST_TEST(state.upstreams().size() == 1U);
    BOOST_TEST(state.seeds().size() == 1U);
    BOOST_TEST(counters.totals().messages.at(static_cast<std::size_t>(ControlMessage::ListFailed))
               == 1U);
}

// Guards against drain flags of replaced upstreams that accumulate in memory, and against an
// expired flag that is added again from a peer that still holds it.
BOOST_AUTO_TEST_CASE(expired_drain_flags_are_removed_and_not_added_again)
{
    const auto old = static_cast<std::uint64_t>(
        wallClockMs() - std::chrono::milliseconds(DrainFlagLifetime).count());
    UpstreamInfo listed;
    listed.id = UpstreamId("listed");
    const DrainFlags kept{{listed.id, {old, true}}, {UpstreamId("new"), {old + 60000, true}}};
    DrainFlags flags = kept;
    flags[UpstreamId("old")] = {old, true};
    this->agent(0).state.adoptDrainFlags(flags);
    this->cluster.converge();
    BOOST_TEST((this->agent(1).state.record().drainFlags == flags));
    for (const unsigned index : {1U, 2U}) {
        this->agent(index).state.adoptInstances({1, {listed}, {}});
    }
    this->cluster.converge();
    BOOST_TEST((this->agent(0).state.record().drainFlags == flags));
    BOOST_TEST((this->agent(1).state.record().drainFlags == kept));
    this->agent(0).state.adoptInstances({1, {listed}, {}});
    this->cluster.converge();
    BOOST_TEST((this->agent(0).state.record().drainFlags == kept));
}

BOOST_AUTO_TEST_SUITE_END()
