#ifndef BRONZESHED_MEMBERSHIP_VERSIONREPORT_H
#define BRONZESHED_MEMBERSHIP_VERSIONREPORT_H

#include "base/strongnumber.h"

#include <cstdint>
#include <vector>

namespace bronzeshed {

/** Members that one word of a version report covers. */
constexpr std::size_t MembersPerWord = 64;

/** Some of the members that have one version in force. */
struct VersionWord
{
    ConfigVersion version;
    std::uint64_t members = 0; ///< bit i stands for the i-th member that the word covers

    bool operator==(const VersionWord &) const = default;
};

/**
 * The versions in force at all members that are not dead, without their records: two tables with
 * the same members list them in the same order, so one bit names a member.
 */
struct VersionReport
{
    /** The hash of the members without their versions; the report fits equal tables only. */
    std::uint64_t membersHash = 0;
    /** For each version as many words as it takes to cover all members in the order of ids. */
    std::vector<VersionWord> words;
};

} // namespace bronzeshed

#endif
