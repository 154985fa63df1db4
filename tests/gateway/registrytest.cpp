#include "gateway/registry.h"

#include <boost/test/unit_test.hpp>

using namespace bronzeshed;
using namespace std::chrono_literals;

namespace {

std::string configuration(unsigned version)
{
    return R"({"version":"r)" + std::to_string(version)
        + R"(","limits":{"maxHeaderBytes":1,"maxBodyBytes":1,"headerTimeoutMs":1,)"
        + R"("idleTimeoutMs":1},"listeners":[],"clusters":[]})";
}

std::string upstream(const std::string &state, unsigned started = 1)
{
    return R"({"address":"10.0.0.9:80","info":{"service":"s","zone":"z","slots":2},)"
           R"("status":{"state":")"
        + state + R"(","warmupLeftMs":0},"born":)" + std::to_string(started) + "}";
}

struct RegistryFixture
{
    void put(const std::string &key, const std::string &value)
    {
        ++this->revision;
        this->apply({{key, value, StoreRevision(this->revision)}, false});
    }
    void erase(const std::string &key, DeletionMeaning meaning)
    {
        ++this->revision;
        this->apply({{key, "", StoreRevision(this->revision)}, true}, meaning);
    }
    void apply(const StoreEvent &event, DeletionMeaning meaning = DeletionMeaning::Final)
    {
        this->registry.apply({{event}, StoreRevision(this->revision), false}, meaning, this->now);
    }

    Registry registry{ZoneRegions{{ZoneName("z"), RegionName("r")}}};
    TimePoint now{1h};
    std::uint64_t revision = 10;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(registry_of_items, RegistryFixture)

// Guards P7: a stale read or an old copy of a peer must not bring an older version back.
BOOST_AUTO_TEST_CASE(a_configuration_never_goes_back)
{
    this->put("op/config", configuration(5));
    this->put("op/config", configuration(4));
    BOOST_TEST(this->registry.state().version.value() == 5U);
    this->put("op/config", "{broken");
    BOOST_TEST(this->registry.state().version.value() == 5U);
    BOOST_TEST(this->registry.state().declaration != nullptr);
    this->put("op/config", configuration(9));
    BOOST_TEST(this->registry.state().version.value() == 9U);
}

// Guards against a malformed registration that harms others or keeps a former one in use.
BOOST_AUTO_TEST_CASE(a_malformed_registration_names_no_upstream)
{
    this->put("servers/a", upstream("ready"));
    this->put("servers/b", upstream("ready"));
    this->put("servers/b", "nonsense");
    const FleetState state = this->registry.state();
    BOOST_REQUIRE(state.upstreams.size() == 1U);
    BOOST_TEST(state.upstreams[0].id.value() == "a");
}

// Guards against servers that are dropped because their entries lapsed while the store was away,
// and against gone ones that are kept longer than their owners need to write again.
BOOST_AUTO_TEST_CASE(lapsed_entries_have_time_to_come_back)
{
    this->put("servers/a", upstream("ready"));
    this->put("servers/b", upstream("ready"));
    this->erase("servers/a", DeletionMeaning::Lapsed);
    this->erase("servers/b", DeletionMeaning::Lapsed);
    BOOST_TEST(this->registry.state().upstreams.size() == 2U);
    this->put("servers/a", upstream("ready"));
    this->now += Registry::LapseGrace - 1ms;
    BOOST_TEST(!this->registry.dropLapsed(this->now));
    this->now += 1ms;
    BOOST_TEST(this->registry.dropLapsed(this->now));
    BOOST_REQUIRE(this->registry.state().upstreams.size() == 1U);
    BOOST_TEST(this->registry.state().upstreams[0].id.value() == "a");
}

// Guards against a grace that hides the leaving of a server.
BOOST_AUTO_TEST_CASE(a_final_deletion_takes_effect_at_once)
{
    this->put("servers/a", upstream("ready"));
    this->put("servers/a", upstream("draining"));
    BOOST_TEST(this->registry.state().upstreams[0].leaving);
    this->erase("servers/a", DeletionMeaning::Final);
    BOOST_TEST(this->registry.state().upstreams.empty());
}

// Guards against a relay whose followers miss a change or get one twice.
BOOST_AUTO_TEST_CASE(changes_are_complete_or_known_to_be_lost)
{
    this->registry.replaceAll({{}, StoreRevision(10)}, DeletionMeaning::Final, this->now);
    this->put("servers/a", upstream("ready"));
    this->put("servers/a", upstream("draining"));
    this->put("servers/b", upstream("ready"));
    this->erase("servers/b", DeletionMeaning::Lapsed);
    const StoreChanges all = this->registry.changesSince(StoreRevision(10));
    BOOST_TEST(!all.historyLost);
    BOOST_REQUIRE(all.events.size() == 2U);
    BOOST_TEST(all.events[0].item.value == upstream("draining"));
    BOOST_TEST(all.events[1].deleted);
    BOOST_TEST(all.asOf.value() == this->revision);
    BOOST_TEST(this->registry.changesSince(all.asOf).events.empty());
    BOOST_TEST(this->registry.changesSince(StoreRevision(9)).historyLost);
    this->registry.replaceAll({{}, StoreRevision(50)}, DeletionMeaning::Final, this->now);
    BOOST_TEST(this->registry.changesSince(all.asOf).historyLost);
}

// Guards against an entry that cannot reach the store and drops servers that only lapsed.
BOOST_AUTO_TEST_CASE(a_snapshot_may_hold_lapsed_items)
{
    this->put("servers/a", upstream("ready"));
    this->erase("servers/a", DeletionMeaning::Lapsed);
    BOOST_TEST(this->registry.snapshot(true).items.size() == 1U);
    BOOST_TEST(this->registry.snapshot(false).items.empty());
}

// Guards against members that are lost on the way through the store.
BOOST_AUTO_TEST_CASE(members_are_written_and_read)
{
    Member member;
    member.id = InstanceId("i");
    member.region = RegionName("r");
    member.zone = ZoneName("z");
    member.callerEndpoint = {"10.0.0.1", 1};
    member.agentEndpoint = {"10.0.0.1", 2};
    this->put(std::string(MemberPrefix) + "i", encodeMember(member));
    BOOST_REQUIRE(this->registry.hasMember(member.id));
    BOOST_CHECK((this->registry.state().members.front() == member));
    this->put(std::string(MemberPrefix) + "j", R"({"region":7})");
    BOOST_TEST(!this->registry.hasMember(InstanceId("j")));
}

BOOST_AUTO_TEST_SUITE_END()
