#ifndef BRONZESHED_MEMBERSHIP_VERSIONREPORT_H
#define BRONZESHED_MEMBERSHIP_VERSIONREPORT_H

#include "base/strongnumber.h"

#include <cstdint>
#include <vector>

namespace bronzeshed {

/** Number of members that one mask of a version report covers. */
constexpr std::size_t MembersPerMask = 64;

/** Up to 64 consecutive members, with a bit set for each one that has this version active. */
struct VersionMask
{
    ConfigVersion version;
    std::uint64_t members = 0; ///< bit i represents the i-th member that the mask covers

    bool operator==(const VersionMask &) const = default;
};

/**
 * The active versions of all members that are not dead, without their records. Two tables with the
 * same members list them in the same order, so one bit identifies a member.
 */
struct VersionReport
{
    /** Hash of the members without their versions; the report is valid only for equal members. */
    std::uint64_t membersHash = 0;
    /** For each version, the masks that cover all members in the order of their ids. */
    std::vector<VersionMask> masks;
};

} // namespace bronzeshed

#endif
