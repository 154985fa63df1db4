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

/** States whether an upstream is leaving. Of two flags, the one with the higher counter wins. */
struct DrainFlag
{
    /**
     * Wall-clock time of the command in milliseconds since 1970, but at least one more than the
     * counter of the flag that it replaces.
     */
    std::uint64_t counter = 0;
    bool leaving = false;

    bool operator==(const DrainFlag &) const = default;
};

using DrainFlags = std::map<UpstreamId, DrainFlag>;

/**
 * Whether @p candidate replaces @p current. Of two flags with the same counter, the one with
 * leaving set wins, so that all agents converge to the same flag in any order of arrival.
 */
bool supersedes(const DrainFlag &candidate, const DrainFlag &current);

/**
 * Copies the flags of @p source that supersede those of @p target.
 * @return whether @p target changed
 */
bool mergeDrainFlags(DrainFlags &target, const DrainFlags &source);

/**
 * Age at which drain flags of upstreams that are missing from the instance list expire. An agent
 * that was partitioned for a shorter time cannot reintroduce a replaced flag, since the newer flag
 * still exists.
 */
constexpr std::chrono::hours DrainFlagLifetime{24};

/**
 * Removes the expired flags of upstreams that are not in @p listed. If @p listed is empty, nothing
 * is removed, since the instance list may be incomplete.
 * @param nowMs wall-clock time in milliseconds since 1970
 * @return the number of removed flags
 */
std::size_t removeExpiredDrainFlags(DrainFlags &flags, const std::set<UpstreamId> &listed,
                                    std::int64_t nowMs);

/** Records one accepted change of the configuration. */
struct AuditEntry
{
    std::int64_t timeMs = 0; ///< wall-clock time in milliseconds since 1970
    std::string operatorName;
    std::string action;
    ConfigVersion from; ///< version before the change
    ConfigVersion to; ///< version after the change
    std::string writeId;

    bool operator==(const AuditEntry &) const = default;
};

/** The configuration with its audit trail, as stored under ConfigKey. */
struct ConfigRecord
{
    ConfigVersion version;
    std::string declarationText;
    std::string writeId; ///< id of the write that created this version
    DrainFlags drainFlags;
    std::vector<AuditEntry> audit; ///< oldest first
    std::uint64_t archivedPages = 0; ///< number of audit pages, which hold the older entries

    bool operator==(const ConfigRecord &) const = default;
};

/** Store key of the configuration record. */
inline const std::string ConfigKey = "bronzeshed/config";

/** Returns the entries as a JSON array, the format of records and audit pages. */
std::string serializeAuditEntries(const std::vector<AuditEntry> &entries);

/** @throws ProtocolError if the text is malformed; names the field */
std::vector<AuditEntry> parseAuditEntries(const std::string &json);

std::string serializeConfigRecord(const ConfigRecord &record);

/** @throws ProtocolError if the text is malformed; names the field */
ConfigRecord parseConfigRecord(const std::string &json);

} // namespace bronzeshed

#endif
