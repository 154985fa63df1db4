#ifndef BRONZESHED_MEMBERSHIP_MEMBERSHIPTABLE_H
#define BRONZESHED_MEMBERSHIP_MEMBERSHIPTABLE_H

#include "base/clock.h"
#include "membership/controlstate.h"
#include "membership/versionreport.h"

#include <map>
#include <optional>
#include <vector>

namespace bronzeshed {

struct MembershipLimits
{
    /** A suspect member that does not refute is dead after this time. */
    Duration suspicion = std::chrono::seconds(3);
    /** A dead member is forgotten after this time. */
    Duration forget = std::chrono::minutes(10);
    /** A longer time between two ticks means that this process was frozen. */
    Duration gap = std::chrono::milliseconds(1500);
    /** Bounds the memory that a faulty peer can fill. */
    std::size_t maxMembers = 1024;
};

/** One change of a member, for the log and for sending on. */
struct MemberChange
{
    std::optional<MemberState> from; ///< nothing if the member was unknown
    Member member;
};

/** Whether work may go to the member. Most suspicions are refuted within a second. */
bool isLive(const Member &member);

/** Name of a state for log lines and operators. */
const char *memberStateName(MemberState state);

/**
 * Whether @p left takes precedence over @p right: higher incarnation, then higher counter, then
 * dead > leaving > suspect > alive. Addresses decide between records that are equal in these, so
 * that all tables keep the same one.
 */
bool takesPrecedence(const Member &left, const Member &right);

/** Whether two hashes of tables stand for the same members, whatever versions they have in force.
 */
bool hasSameMembers(std::uint64_t left, std::uint64_t right);

/**
 * Members as one agent knows them. Tables that exchange their members converge to the same live
 * members, whatever the order of the exchanges. Not thread-safe.
 */
class MembershipTable
{
public:
    explicit MembershipTable(const Clock &clock, const MembershipLimits &limits = {});

    /**
     * Sets the agent's own member. Its counter is chosen so that it takes precedence over what is
     * known of this incarnation.
     */
    void setSelf(Member member);
    const std::optional<Member> &self() const { return this->own; }

    /**
     * Takes over all records that take precedence, and refutes wrong records of the own member. Of
     * the own member it takes over only the record of a former process with a higher incarnation.
     */
    void merge(const std::vector<Member> &records);

    /**
     * A call to the agent at @p agent was not answered: its member becomes suspect. A leaving
     * member keeps its state, and is dead if no call is answered for the time of suspicion.
     */
    void callFailed(const Endpoint &agent);
    void callAnswered(const Endpoint &agent);

    /** Turns overdue suspects dead and forgets old dead members. Call at least every second. */
    void tick();

    /** All members in the order of their ids, dead ones included. */
    std::vector<Member> members() const;
    std::optional<Member> find(const InstanceId &id) const;

    /**
     * Hash of all members that are not dead; equal on all machines. Dead members are left out, as
     * each agent forgets them at its own time and a dead member counts the same as an unknown one.
     * One part of it stands for the versions in force, the other for all else.
     */
    std::uint64_t hash() const;

    /** The versions in force at all members that are not dead. */
    VersionReport versionReport() const;
    /** Takes over higher versions of other members, if the report is of the same members. */
    void mergeVersions(const VersionReport &report);

    /** Changes since the last call. */
    std::vector<MemberChange> takeChanges();

private:
    struct Entry
    {
        Member member;
        TimePoint since; ///< when the member got its state here
        std::optional<TimePoint> silentSince; ///< first of the calls in a row that failed
    };

    /** Hash of all members that are not dead, without their versions. */
    std::uint64_t membersHash() const;
    void mergeOne(const Member &record);
    void refute(const Member &record);
    void put(const Member &member);
    void replaceSameAddress(const Member &member);
    bool isOverdue(const Entry &entry, TimePoint now) const;
    bool isOwn(const InstanceId &id) const { return this->own && this->own->id == id; }
    void recordChange(std::optional<MemberState> from, const Member &member);

    const Clock &clock;
    MembershipLimits limits;
    std::optional<Member> own;
    std::map<InstanceId, Entry> entries;
    std::vector<MemberChange> changes;
    TimePoint lastTick;
};

} // namespace bronzeshed

#endif
