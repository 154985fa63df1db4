#ifndef BRONZESHED_CONFIG_CONFIGRECORD_H
#define BRONZESHED_CONFIG_CONFIGRECORD_H

#include "base/strongid.h"
#include "base/strongnumber.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace bronzeshed {

/** Whether an upstream is marked as leaving. The mark with the higher counter wins. */
struct LeaveMark
{
    /** Wall-clock time of the command in milliseconds since 1970, or one more than the former. */
    std::uint64_t counter = 0;
    bool leaving = false;

    bool operator==(const LeaveMark &) const = default;
};

using LeaveMarks = std::map<UpstreamId, LeaveMark>;

/**
 * Whether @p offered replaces @p known. Of two marks with the same counter the one that says
 * "leaving" wins, so that all agents settle on the same mark whatever the order of arrival.
 */
bool supersedes(const LeaveMark &offered, const LeaveMark &known);

/**
 * Adds the marks of @p source that are newer.
 * @return whether anything changed
 */
bool mergeLeaveMarks(LeaveMarks &target, const LeaveMarks &source);

/**
 * Marks of upstreams that the instance list no longer shows lapse at this age. An agent that was
 * cut off for a shorter time cannot bring back a mark that was replaced: the newer one is kept for
 * as long.
 */
constexpr std::chrono::hours LeaveMarkLifetime{24};

/**
 * Removes the marks that have lapsed. An empty list removes nothing, since it may be incomplete.
 * @return how many were removed
 */
std::size_t dropLapsedMarks(LeaveMarks &marks, const std::set<UpstreamId> &listed,
                            std::int64_t nowMs);

/** One line of the audit trail. */
struct AuditEntry
{
    std::int64_t timeMs = 0; ///< wall-clock time in milliseconds since 1970
    std::string operatorName;
    std::string action;
    ConfigVersion from;
    ConfigVersion to;
    std::string writeId;

    bool operator==(const AuditEntry &) const = default;
};

/** What the store holds under the configuration key. */
struct ConfigRecord
{
    ConfigVersion version;
    std::string declarationText;
    std::string writeId; ///< of the write that made this version
    LeaveMarks leaveMarks;
    std::vector<AuditEntry> audit; ///< oldest first
    std::uint64_t archivedPages = 0; ///< audit pages written; older entries are there

    bool operator==(const ConfigRecord &) const = default;
};

/** Key of the configuration record. */
inline const std::string ConfigKey = "bronzeshed/config";

/** JSON array of audit entries, as a record and an audit page hold them. */
std::string serializeAuditEntries(const std::vector<AuditEntry> &entries);

/** @throws ProtocolError naming the malformed field */
std::vector<AuditEntry> parseAuditEntries(const std::string &json);

std::string serializeConfigRecord(const ConfigRecord &record);

/** @throws ProtocolError naming the malformed field */
ConfigRecord parseConfigRecord(const std::string &json);

} // namespace bronzeshed

#endif
