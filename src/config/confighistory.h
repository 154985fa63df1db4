#ifndef BRONZESHED_CONFIG_CONFIGHISTORY_H
#define BRONZESHED_CONFIG_CONFIGHISTORY_H

#include "config/configrecord.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace bronzeshed {

/** Audit data of a configuration change: time, operator, action and write id. */
struct ConfigChange
{
    std::int64_t timeMs = 0; ///< wall-clock time in milliseconds since 1970
    std::string operatorName;
    std::string action;
    std::string writeId;
};

/** Audit entries that are moved out of the record into a numbered page of the store. */
struct AuditPage
{
    std::uint64_t number = 0;
    std::vector<AuditEntry> entries;
};

/**
 * Rules for changing configuration records. Every accepted change, including a drain flag, gets a
 * new version, so that a version identifies exactly one record.
 */
class ConfigHistory
{
public:
    static constexpr std::size_t MaxAuditEntries = 1000;
    static constexpr std::size_t PageEntries = 500;
    /** The store accepts values up to 1 MB, of which the request needs a part itself. */
    static constexpr std::size_t MaxRecordBytes = 1000000;
    /** JSON escaping at most doubles the text, which still leaves space for the audit entries. */
    static constexpr std::size_t MaxDeclarationBytes = 200 * 1024;
    static constexpr std::size_t MaxOperatorNameBytes = 64;
    /** With this limit, 1,000 audit entries stay well below MaxRecordBytes. */
    static constexpr std::size_t MaxActionBytes = 160;
    static constexpr std::size_t MaxWriteIdBytes = 64;
    /**
     * Drain flags of further upstreams are refused. The limit is several times the number of
     * upstreams in a fleet of the target size, and still a small part of the record.
     */
    static constexpr std::size_t MaxDrainFlags = 2000;

    /** Whether a record of version @p candidate replaces one of version @p current. */
    static bool isNewer(ConfigVersion current, ConfigVersion candidate);

    /**
     * Returns the lowest version above all given versions and above @p revision. The revisions of
     * the store keep rising when its value reverts to an older one. A change therefore never reuses
     * a version that only agents on the other side of a partition hold.
     * @param revision revision of the store's value that the change replaces
     * @param stored version of the record in the store
     * @param own version of the record that this agent holds
     * @param fleet versions of the records that other agents hold
     */
    static ConfigVersion nextVersion(std::uint64_t revision, ConfigVersion stored,
                                     ConfigVersion own, const std::vector<ConfigVersion> &fleet);

    /**
     * Returns @p current with another declaration and an audit entry, as version @p next.
     * @throws Error with a remedy if the declaration or a text of @p change is invalid
     */
    static ConfigRecord withDeclaration(const ConfigRecord &current, ConfigVersion next,
                                        const std::string &declarationText,
                                        const ConfigChange &change);

    /**
     * Returns @p current with @p flags merged in and an audit entry, as version @p next.
     * @throws Error with a remedy if a text of @p change is invalid
     */
    static ConfigRecord withDrainFlags(const ConfigRecord &current, ConfigVersion next,
                                       const DrainFlags &flags, const ConfigChange &change);

    /**
     * Merges the drain flags and audit entries of @p other into @p record.
     * @return whether @p record changed
     */
    static bool mergeHistory(ConfigRecord &record, const ConfigRecord &other);

    /**
     * Returns the record with which the agents replace an older record in the store: @p fleet with
     * the drain flags and audit entries that only @p stored holds. If that changes the record, it
     * gets the version @p next and an audit entry.
     */
    static ConfigRecord restored(const ConfigRecord &fleet, const ConfigRecord &stored,
                                 ConfigVersion next, const ConfigChange &change);

    /**
     * Returns the oldest audit entries as the page that must be written before trim() is called.
     * @return std::nullopt if the record is within its limits
     */
    static std::optional<AuditPage> pageToArchive(const ConfigRecord &record);

    /** Removes the entries of @p page, which must have been written, from @p record. */
    static void trim(ConfigRecord &record, const AuditPage &page);

    /** @throws Error with a remedy if @p record exceeds MaxRecordBytes */
    static void checkSize(const ConfigRecord &record);

    /** Returns the audit entry with the given write id, or std::nullopt. */
    static std::optional<AuditEntry> findWrite(const ConfigRecord &record,
                                               const std::string &writeId);
};

/** Returns the store key of an audit page. */
std::string auditPageKey(std::uint64_t number);

std::string serializeAuditPage(const AuditPage &page);

} // namespace bronzeshed

#endif
