#include "gossipcluster.h"

#include "agent/entrywatch.h"
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

/** A store whose answers the test sets. */
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

/** A list that fails or is unchanged. */
struct FakeList : InstanceList
{
    std::optional<InstanceSnapshot> fetch(std::uint64_t knownRevision) override
    {
        if (this->down) {
            throw UnavailableError("no answer", "wait");
        }
        return knownRevision == 1 ? std::nullopt : std::optional(this->snapshot);
    }

    InstanceSnapshot snapshot{1, {UpstreamInfo{}}, {{"10.0.0.9", 1}}};
    bool down = false;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(agent_state, Fixture)

// Guards against lookups that name an entry after it began to drain or was lost.
BOOST_AUTO_TEST_CASE(pushes_a_leaving_and_a_lost_entry_at_once)
{
    this->cluster.settle();
    for (unsigned i = 0; i < 3; ++i) {
        this->agent(i).gossip.takeUpdates();
    }
    this->agent(0).report(true);
    this->cluster.pushNews(0, 1);
    BOOST_TEST((this->stateAt(1, 0) == MemberState::Leaving));
    // The receiver passes on what was new to it.
    this->cluster.pushNews(1, 2);
    BOOST_TEST((this->stateAt(2, 0) == MemberState::Leaving));
    this->agent(0).state.entryLinkClosed();
    this->cluster.clock.advance(900ms);
    this->agent(0).state.tick();
    BOOST_TEST((this->stateAt(0, 0) == MemberState::Leaving));
    this->cluster.clock.advance(100ms);
    this->agent(0).state.tick();
    this->cluster.pushNews(0, 1);
    BOOST_TEST((this->stateAt(1, 0) == MemberState::Dead));
    // The same process reports again after its connection was restored.
    this->agent(0).state.entryLinkOpened();
    this->agent(0).report();
    this->cluster.pushNews(0, 1);
    BOOST_TEST((this->stateAt(1, 0) == MemberState::Alive));
}

// Guards against an entry that is frozen or never starts while its agent keeps it alive.
BOOST_AUTO_TEST_CASE(notices_a_silent_and_a_missing_entry)
{
    ManualClock clock;
    EntryWatch watch(clock);
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

// Guards against a version or a leave mark that reverts, and against a record without its marks.
BOOST_AUTO_TEST_CASE(keeps_the_higher_version_and_mark)
{
    AgentState &state = this->agent(0).state;
    state.adoptRecord(makeRecord(5));
    ConfigRecord older = makeRecord(4);
    older.leaveMarks[UpstreamId("u")] = {2, true};
    state.adoptRecord(older);
    BOOST_TEST(state.record().version.value() == 5U);
    BOOST_TEST(!state.mergeMarks({{UpstreamId("u"), {1, false}}}));
    BOOST_TEST(state.record().leaveMarks.at(UpstreamId("u")).leaving);
    InstanceSnapshot snapshot;
    snapshot.upstreams.resize(1);
    snapshot.upstreams[0].id = UpstreamId("u");
    state.adoptInstances(snapshot);
    BOOST_TEST(state.upstreams().at(0).leaving);
    BOOST_TEST(state.mergeMarks({{UpstreamId("u"), {3, false}}}));
    BOOST_TEST(!state.upstreams().at(0).leaving);
    this->cluster.pushNews(0, 1);
    BOOST_TEST((this->agent(1).state.record() == state.record()));
}

// Guards against member records that are sent again because only a version in force changed, and
// against a version that is not passed on by agents that heard of it.
BOOST_AUTO_TEST_CASE(a_new_version_sends_no_member_again)
{
    this->cluster.settle();
    this->agent(0).status.configVersionInForce = ConfigVersion(7);
    this->agent(0).report();
    for (const unsigned from : {0U, 1U}) {
        Gossip &caller = this->agent(from).gossip;
        Gossip &callee = this->agent(from + 1).gossip;
        const PeerDigest theirs = callee.digest();
        BOOST_TEST(caller.needsSync(theirs));
        const PeerUpdate update = caller.updateFor(theirs);
        BOOST_TEST(update.members.empty());
        BOOST_TEST(callee.sync(update, caller.digest()).isEmpty());
        BOOST_TEST(!caller.needsSync(callee.digest()));
    }
    BOOST_TEST(this->agent(2).state.members().at(0).configVersion.value() == 7U);
}

// Guards against an agent that is cut off and confirms its state itself.
BOOST_AUTO_TEST_CASE(is_stale_without_contact)
{
    AgentState &state = this->agent(0).state;
    InstanceSnapshot snapshot;
    snapshot.agents = {this->agent(0).endpoint, this->agent(1).endpoint};
    state.adoptInstances(snapshot);
    this->cluster.settle();
    BOOST_TEST((state.currentState().confirmedAge <= 1s));
    for (unsigned second = 0; second < 20; ++second) {
        state.peerFailed(this->agent(1).endpoint);
        state.peerFailed(this->agent(2).endpoint);
        this->cluster.pass(1s, 500ms);
    }
    BOOST_TEST((this->stateAt(0, 1) == MemberState::Dead));
    BOOST_TEST((state.currentState().confirmedAge >= 20s));
    BOOST_TEST(state.needsConfirmation());
    state.storeAnswered(this->cluster.clock.now());
    BOOST_TEST(!state.needsConfirmation());
    // The platform says that the others are gone.
    snapshot.agents.pop_back();
    state.adoptInstances(snapshot);
    this->cluster.pass(10s, 500ms);
    BOOST_TEST((state.currentState().confirmedAge == 0s));
}

// Guards against no or several agents that write a lost record back to the store.
BOOST_AUTO_TEST_CASE(one_agent_is_first_for_the_configuration)
{
    this->cluster.settle();
    unsigned first = 0;
    for (unsigned i = 0; i < 3; ++i) {
        first += this->agent(i).state.isFirstForConfig() ? 1 : 0;
    }
    BOOST_TEST(first == 1U);
}

// Guards against a watch that is not held, a store that is called in a tight loop while it is
// down, and a store that went back to an older revision unnoticed.
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
    // A watch that was ended on purpose is no failure of the store, but a failed read is one.
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

// Guards against an agent without a watch that calls the store more than once a minute.
BOOST_AUTO_TEST_CASE(reads_once_a_minute_without_a_watch)
{
    this->cluster.settle();
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
        this->cluster.pass(1s, 500ms);
        this->agent(index).state.peerAnswered({}, this->cluster.clock.now());
    }
    BOOST_TEST(store.watches == 0U);
    BOOST_TEST(store.reads >= 5U);
    BOOST_TEST(store.reads <= 6U);
}

// Guards against upstreams that vanish while the instance list is down.
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

// Guards against marks of replaced upstreams that pile up in memory, and against one that comes
// back from a peer that still holds it.
BOOST_AUTO_TEST_CASE(lapsed_marks_go_and_do_not_come_back)
{
    const auto old = static_cast<std::uint64_t>(
        wallClockMs() - std::chrono::milliseconds(LeaveMarkLifetime).count());
    UpstreamInfo listed;
    listed.id = UpstreamId("listed");
    const LeaveMarks kept{{listed.id, {old, true}}, {UpstreamId("new"), {old + 60000, true}}};
    LeaveMarks marks = kept;
    marks[UpstreamId("old")] = {old, true};
    this->agent(0).state.mergeMarks(marks);
    this->cluster.settle();
    BOOST_TEST((this->agent(1).state.record().leaveMarks == marks));
    for (const unsigned index : {1U, 2U}) {
        this->agent(index).state.adoptInstances({1, {listed}, {}});
    }
    this->cluster.settle();
    BOOST_TEST((this->agent(0).state.record().leaveMarks == marks));
    BOOST_TEST((this->agent(1).state.record().leaveMarks == kept));
    this->agent(0).state.adoptInstances({1, {listed}, {}});
    this->cluster.settle();
    BOOST_TEST((this->agent(0).state.record().leaveMarks == kept));
}

BOOST_AUTO_TEST_SUITE_END()
