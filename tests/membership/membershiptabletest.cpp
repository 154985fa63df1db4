#include "membership/membershiptable.h"

#include <boost/test/unit_test.hpp>

using namespace bronzeshed;
using namespace std::chrono_literals;

namespace {

Member makeMember(const std::string &id, std::uint64_t incarnation, std::uint64_t counter,
                  MemberState state)
{
    Member member;
    member.id = InstanceId(id);
    member.incarnation = Incarnation(incarnation);
    member.counter = counter;
    member.state = state;
    member.callerEndpoint = {"10.0.0.1", static_cast<std::uint16_t>(1000 + id.back())};
    member.agentEndpoint = {"10.0.0.1", static_cast<std::uint16_t>(2000 + id.back())};
    return member;
}

struct Fixture
{
    ManualClock clock;
    MembershipTable table{clock};

    MemberState stateOf(const std::string &id) { return this->table.find(InstanceId(id))->state; }
    void pass(Duration time)
    {
        for (Duration passed{}; passed < time; passed += 500ms) {
            this->clock.advance(500ms);
            this->table.tick();
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(membership_table, Fixture)

// Guards against an old record that replaces a newer one when a peer with an older table sends its
// records.
BOOST_AUTO_TEST_CASE(keeps_the_record_that_takes_precedence)
{
    const std::vector<Member> ascending{
        makeMember("b", 1, 0, MemberState::Alive),   makeMember("b", 1, 0, MemberState::Suspect),
        makeMember("b", 1, 0, MemberState::Leaving), makeMember("b", 1, 0, MemberState::Dead),
        makeMember("b", 1, 1, MemberState::Alive),   makeMember("b", 2, 0, MemberState::Alive),
    };
    for (std::size_t i = 0; i < ascending.size(); ++i) {
        this->table.merge({ascending[i]});
        for (std::size_t older = 0; older < i; ++older) {
            this->table.merge({ascending[older]});
        }
        BOOST_TEST((this->table.find(InstanceId("b")) == ascending[i]), "record " << i);
    }
}

// Guards against a failed member that stays in lookups after calls to it failed, and against one
// that is removed before it had 3 s to refute the suspicion.
BOOST_AUTO_TEST_CASE(suspects_after_a_failed_call_and_declares_dead_after_3_s)
{
    this->table.merge({makeMember("b", 1, 0, MemberState::Alive)});
    this->table.callFailed(makeMember("b", 1, 0, MemberState::Alive).agentEndpoint);
    BOOST_TEST((this->stateOf("b") == MemberState::Suspect));
    this->pass(2500ms);
    BOOST_TEST((this->stateOf("b") == MemberState::Suspect));
    this->pass(500ms);
    BOOST_TEST((this->stateOf("b") == MemberState::Dead));
}

// Guards against a leaving member that is called indefinitely after its instance failed while it
// was draining.
BOOST_AUTO_TEST_CASE(declares_an_unreachable_leaving_member_dead)
{
    const Member leaving = makeMember("b", 1, 0, MemberState::Leaving);
    this->table.merge({leaving});
    this->table.callFailed(leaving.agentEndpoint);
    this->pass(2s);
    this->table.callAnswered(leaving.agentEndpoint);
    this->pass(4s);
    BOOST_TEST((this->stateOf("b") == MemberState::Leaving));
    this->table.callFailed(leaving.agentEndpoint);
    this->pass(3s);
    BOOST_TEST((this->stateOf("b") == MemberState::Dead));
}

// Guards against live members declared dead after a suspension: the process resumes after more than
// the suspicion timeout and has not yet read their refutations.
BOOST_AUTO_TEST_CASE(restarts_suspicions_after_a_gap_in_time)
{
    this->table.merge({makeMember("b", 1, 0, MemberState::Suspect)});
    this->clock.advance(30s);
    this->table.tick();
    BOOST_TEST((this->stateOf("b") == MemberState::Suspect));
}

// Guards against a live member that stays dead in other tables after a failed call, or after its
// agent restarted and lost its counter.
BOOST_AUTO_TEST_CASE(refutes_records_of_the_own_member)
{
    this->table.setSelf(makeMember("a", 5, 0, MemberState::Alive));
    this->table.merge({makeMember("a", 5, 3, MemberState::Dead)});
    BOOST_TEST(this->table.self()->counter == 4U);
    BOOST_TEST((this->stateOf("a") == MemberState::Alive));
    // A restarted agent of the same entry starts with counter 0.
    MembershipTable restarted(this->clock);
    restarted.merge({makeMember("a", 5, 4, MemberState::Suspect)});
    restarted.setSelf(makeMember("a", 5, 0, MemberState::Alive));
    BOOST_TEST(restarted.self()->counter == 5U);
}

// Guards against two live members at the same address after an instance was replaced under a new
// id; the order in which their records arrive must not matter.
BOOST_AUTO_TEST_CASE(replaces_the_older_incarnation_at_an_address)
{
    Member newer = makeMember("c", 9, 0, MemberState::Alive);
    newer.callerEndpoint = makeMember("b", 1, 0, MemberState::Alive).callerEndpoint;
    this->table.merge({makeMember("b", 1, 0, MemberState::Alive), newer});
    BOOST_TEST((this->stateOf("b") == MemberState::Dead));
    MembershipTable other(this->clock);
    other.merge({newer, makeMember("b", 1, 0, MemberState::Alive)});
    BOOST_TEST(other.hash() == this->table.hash());
}

// Guards against versions stored for the wrong member: a version report identifies members by
// position, and the receiving table may hold a different set of members.
BOOST_AUTO_TEST_CASE(merges_versions_of_the_same_members_only)
{
    const auto fill = [](MembershipTable &table, std::uint64_t version) {
        for (unsigned i = 0; i < 2 * MembersPerMask + 1; ++i) {
            Member member = makeMember("m" + std::to_string(i), i + 1, 0, MemberState::Alive);
            member.callerEndpoint.port = static_cast<std::uint16_t>(i + 1);
            member.configVersion = ConfigVersion(i % 3 == 0 ? version : 1);
            table.merge({member});
        }
    };
    MembershipTable newer(this->clock);
    fill(this->table, 1);
    fill(newer, 9);
    BOOST_TEST(hasSameMembers(newer.hash(), this->table.hash()));
    BOOST_TEST(newer.hash() != this->table.hash());
    const VersionReport report = newer.versionReport();
    newer.mergeVersions(this->table.versionReport());
    this->table.mergeVersions(report);
    BOOST_TEST((this->table.members() == newer.members()));
    MembershipTable other(this->clock);
    other.merge({makeMember("m0", 1, 0, MemberState::Alive)});
    other.mergeVersions(report);
    BOOST_TEST(other.members().at(0).configVersion.value() == 0U);
}

// Guards against a table that grows without bound when instances are replaced or a faulty peer
// sends many records, and against a removed dead member that a peer with an older table adds again.
BOOST_AUTO_TEST_CASE(removes_dead_members_and_limits_the_table)
{
    this->table.merge({makeMember("b", 1, 0, MemberState::Alive)});
    const auto before = this->table.hash();
    this->table.merge({makeMember("b", 1, 0, MemberState::Dead)});
    BOOST_TEST(this->table.hash() != before);
    this->pass(11min);
    this->table.merge({makeMember("b", 1, 0, MemberState::Dead)});
    BOOST_TEST(this->table.members().empty());
    for (unsigned i = 0; i < 3000; ++i) {
        this->table.merge({makeMember("m" + std::to_string(i), i + 1, 0, MemberState::Alive)});
    }
    BOOST_TEST(this->table.members().size() == MembershipLimits{}.maxMembers);
}

BOOST_AUTO_TEST_SUITE_END()
