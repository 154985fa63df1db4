#ifndef BRONZESHED_MEMBERSHIP_MEMBERSHIPTABLE_H
#define BRONZESHED_MEMBERSHIP_MEMBERSHIPTABLE_H

#include "base/clock.h"
#include "membership/controlstate.h"
#include "membership/versionreport.h"

#include <map>
#include <optional>
#include <vector>

namespace bronzeshed {

/** Timeouts and the size limit of a MembershipTable. */
struct MembershipLimits
{
    /** A suspect member that does not refute the suspicion is declared dead after this time. */
    Duration suspicionTimeout = std::chrono::seconds(3);
    /** A dead member is removed after this time. */
    Duration deadRetention = std::chrono::minutes(10);
    /** A longer time between two ticks means that the process was suspended. */
    Duration maxTickGap = std::chrono::milliseconds(1500);
    /** Limits the memory that a faulty peer can use. */
    std::size_t maxMembers = 1024;
};

/** A state change of a member, to be logged and forwarded to peers. */
struct MemberChange
{
    std::optional<MemberState> from; ///< std::nullopt if the member is new
    Member member;
};

/**
 * Whether calls may be sent to the member. Suspect members count as live, since most suspicions are
 * refuted within a second.
 */
bool isLive(const Member &member);

/** Returns the name of a state for log lines and status reports. */
const char *memberStateName(MemberState state);

/**
 * Whether @p left takes precedence over @p right: higher incarnation, then higher counter, then
 * dead > leaving > suspect > alive. Addresses decide between records that are equal in these, so
 * that all tables keep the same record.
 */
bool takesPrecedence(const Member &left, const Member &right);

/** Whether two table hashes describe the same members, regardless of their active versions. */
bool hasSameMembers(std::uint64_t left, std::uint64_t right);

/**
 * The members recorded by one agent. Tables that exchange their members converge to the same live
 * members in any order of the exchanges. Not thread-safe.
 */
class MembershipTable
{
public:
    explicit MembershipTable(const Clock &clock, const MembershipLimits &limits = {});

    /**
     * Sets the agent's own member. Its counter is chosen so that it takes precedence over an
     * existing record of this incarnation.
     */
    void setSelf(Member member);
    const std::optional<Member> &self() const { return this->own; }

    /**
     * Stores all records that take precedence and refutes wrong records of the own member. A record
     * of the own member is stored only if it comes from a former process with a higher incarnation.
     */
    void merge(const std::vector<Member> &records);

    /**
     * Marks the member of @p agent as suspect after a call without a response. A leaving member
     * keeps its state and is declared dead if all calls fail during the suspicion timeout.
     */
    void callFailed(const Endpoint &agent);
    /** Resets the time of the failed calls to @p agent. */
    void callAnswered(const Endpoint &agent);

    /** Declares overdue members dead and removes old dead members. Call at least every second. */
    void tick();

    /** Returns all members sorted by id, including dead ones. */
    std::vector<Member> members() const;
    std::optional<Member> find(const InstanceId &id) const;

    /**
     * Returns a hash of all members that are not dead; it is the same on all instances. Dead
     * members are left out because each agent removes them at a different time, and a dead member
     * is equivalent to an absent one. One part of the hash covers the active versions, the other
     * part all other fields.
     */
    std::uint64_t hash() const;

    /** Returns the active versions of all members that are not dead. */
    VersionReport versionReport() const;
    /** Stores higher versions of other members if the report covers the same members. */
    void mergeVersions(const VersionReport &report);

    /** Returns and clears the changes since the last call. */
    std::vector<MemberChange> takeChanges();

private:
    struct Entry
    {
        Member member;
        TimePoint stateSince; ///< when this table recorded the state
        std::optional<TimePoint> failingSince; ///< first failed call since the last response
    };

    /** Returns a hash of all members that are not dead, without their versions. */
    std::uint64_t membersHash() const;
    void mergeRecord(const Member &record);
    void refute(const Member &record);
    void put(const Member &member);
    /** Declares the older incarnation at the member's caller address dead. */
    void replaceOlderAtAddress(const Member &member);
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
