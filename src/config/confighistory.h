#ifndef BRONZESHED_CONFIG_CONFIGHISTORY_H
#define BRONZESHED_CONFIG_CONFIGHISTORY_H

#include "config/configrecord.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace bronzeshed {

/** Who changes the configuration, how, and under which write id. */
struct ConfigChange
{
    std::int64_t timeMs = 0; ///< wall-clock time in milliseconds since 1970
    std::string operatorName;
    std::string action;
    std::string writeId;
};

/** Audit entries that have left the record, and the page that receives them. */
struct AuditPage
{
    std::uint64_t number = 0;
    std::vector<AuditEntry> entries;
};

/**
 * Acceptance rules of configuration records. Every accepted change, including a leave mark, gets a
 * version of its own, so that one version always stands for one record.
 */
class ConfigHistory
{
public:
    static constexpr std::size_t MaxAuditEntries = 1000;
    static constexpr std::size_t PageEntries = 500;
    /** The store accepts values up to 1 MB; this leaves room for the request's own overhead. */
    static constexpr std::size_t MaxRecordBytes = 1000000;
    /** Escaped in JSON the text at most doubles, which still leaves room for the audit entries. */
    static constexpr std::size_t MaxDeclarationBytes = 200 * 1024;
    static constexpr std::size_t MaxOperatorNameBytes = 64;
    /** Keeps 1,000 audit entries well below the limit of the record. */
    static constexpr std::size_t MaxActionBytes = 160;
    static constexpr std::size_t MaxWriteIdBytes = 64;
    /**
     * Marks of further upstreams are refused. Several times the upstreams of the target size, and
     * still a small part of the record.
     */
    static constexpr std::size_t MaxLeaveMarks = 2000;

    /** Whether a record of version @p offered replaces one of version @p known. */
    static bool isNewer(ConfigVersion known, ConfigVersion offered);

    /**
     * The version after the highest one known anywhere in the fleet, and above @p revision. The
     * store's revisions go on rising when its value falls back, so a change never reuses a version
     * that only agents on the other side of a partition hold.
     * @param revision the store's revision that the change replaces
     */
    static ConfigVersion nextVersion(std::uint64_t revision, ConfigVersion stored,
                                     ConfigVersion own, const std::vector<ConfigVersion> &fleet);

    /**
     * The record that follows @p current with another declaration.
     * @throws Error naming the remedy if the declaration or a name is not acceptable
     */
    static ConfigRecord withDeclaration(const ConfigRecord &current, ConfigVersion next,
                                        const std::string &declarationText,
                                        const ConfigChange &change);

    /**
     * The record that follows @p current with @p marks added.
     * @throws Error naming the remedy if a name is not acceptable
     */
    static ConfigRecord withLeaveMarks(const ConfigRecord &current, ConfigVersion next,
                                       const LeaveMarks &marks, const ConfigChange &change);

    /**
     * Adds the leave marks and audit entries that only @p other holds.
     * @return whether anything was added
     */
    static bool mergeHistory(ConfigRecord &record, const ConfigRecord &other);

    /**
     * The fleet's record with the audit entries that only a lower stored record holds. It gets the
     * version @p next if that added anything.
     */
    static ConfigRecord restored(const ConfigRecord &fleet, const ConfigRecord &stored,
                                 ConfigVersion next, const ConfigChange &change);

    /**
     * The page that must be written before @p record may be trimmed.
     * @return nothing if the record is short enough
     */
    static std::optional<AuditPage> pageToArchive(const ConfigRecord &record);

    /** Removes the entries of a page that has been written. */
    static void trim(ConfigRecord &record, const AuditPage &page);

    /** @throws Error naming the remedy if the record does not fit into one value of the store */
    static void checkSize(const ConfigRecord &record);

    /** The audit entry with this write id, or nothing. */
    static std::optional<AuditEntry> findWrite(const ConfigRecord &record,
                                               const std::string &writeId);
};

/** Store key of an audit page. */
std::string auditPageKey(std::uint64_t number);

std::string serializeAuditPage(const AuditPage &page);

} // namespace bronzeshed

#endif
