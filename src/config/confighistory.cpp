#include "config/confighistory.h"

#include "base/error.h"
#include "config/declaration.h"

#include <algorithm>

namespace bronzeshed {

namespace {

bool isPrintable(unsigned char character)
{
    return character >= ' ' && character <= '~';
}

void validateText(const std::string &what, const std::string &text, std::size_t limit)
{
    if (text.empty() || text.size() > limit
        || !std::all_of(text.begin(), text.end(), isPrintable)) {
        throw Error(what + " '" + text.substr(0, limit) + "' is malformed",
                    "give 1 to " + std::to_string(limit) + " printable ASCII characters");
    }
}

ConfigRecord nextRecord(const ConfigRecord &current, ConfigVersion next, const ConfigChange &change)
{
    validateText("the operator name", change.operatorName, ConfigHistory::MaxOperatorNameBytes);
    validateText("the action", change.action, ConfigHistory::MaxActionBytes);
    validateText("the write id", change.writeId, ConfigHistory::MaxWriteIdBytes);
    ConfigRecord record = current;
    record.version = next;
    record.writeId = change.writeId;
    record.audit.push_back(
        {change.timeMs, change.operatorName, change.action, current.version, next, change.writeId});
    return record;
}

/** Whether @p entry is older than all entries of @p record and so may be in an archived page. */
bool isPossiblyArchived(const ConfigRecord &record, const AuditEntry &entry)
{
    return record.archivedPages > 0 && !record.audit.empty() && entry.to < record.audit.front().to;
}

} // namespace

bool ConfigHistory::isNewer(ConfigVersion current, ConfigVersion candidate)
{
    return candidate > current;
}

ConfigVersion ConfigHistory::nextVersion(std::uint64_t revision, ConfigVersion stored,
                                         ConfigVersion own, const std::vector<ConfigVersion> &fleet)
{
    ConfigVersion highest = std::max({ConfigVersion(revision), stored, own});
    for (const ConfigVersion version : fleet) {
        highest = std::max(highest, version);
    }
    return highest.next();
}

ConfigRecord ConfigHistory::withDeclaration(const ConfigRecord &current, ConfigVersion next,
                                            const std::string &declarationText,
                                            const ConfigChange &change)
{
    if (declarationText.size() > MaxDeclarationBytes) {
        throw DeclarationError(
            "the declaration has " + std::to_string(declarationText.size()) + " bytes",
            "shorten it to at most " + std::to_string(MaxDeclarationBytes) + " bytes");
    }
    parseDeclaration(declarationText);
    ConfigRecord record = nextRecord(current, next, change);
    record.declarationText = declarationText;
    return record;
}

ConfigRecord ConfigHistory::withDrainFlags(const ConfigRecord &current, ConfigVersion next,
                                           const DrainFlags &flags, const ConfigChange &change)
{
    ConfigRecord record = nextRecord(current, next, change);
    mergeDrainFlags(record.drainFlags, flags);
    return record;
}

bool ConfigHistory::mergeHistory(ConfigRecord &record, const ConfigRecord &other)
{
    bool changed = mergeDrainFlags(record.drainFlags, other.drainFlags);
    std::vector<AuditEntry> missing;
    for (const AuditEntry &entry : other.audit) {
        if (!findWrite(record, entry.writeId) && !isPossiblyArchived(record, entry)) {
            missing.push_back(entry);
        }
    }
    changed = changed || !missing.empty();
    record.audit.insert(record.audit.end(), missing.begin(), missing.end());
    record.archivedPages = std::max(record.archivedPages, other.archivedPages);
    return changed;
}

ConfigRecord ConfigHistory::restored(const ConfigRecord &fleet, const ConfigRecord &stored,
                                     ConfigVersion next, const ConfigChange &change)
{
    ConfigRecord record = fleet;
    return mergeHistory(record, stored) ? nextRecord(record, next, change) : record;
}

std::optional<AuditPage> ConfigHistory::pageToArchive(const ConfigRecord &record)
{
    const std::size_t count = record.audit.size();
    const bool tooLarge = serializeConfigRecord(record).size() > MaxRecordBytes;
    if (count <= MaxAuditEntries && !(tooLarge && count > PageEntries)) {
        return std::nullopt;
    }
    const auto first = record.audit.begin();
    return AuditPage{record.archivedPages, {first, first + PageEntries}};
}

void ConfigHistory::trim(ConfigRecord &record, const AuditPage &page)
{
    const auto first = record.audit.begin();
    record.audit.erase(first, first + static_cast<std::ptrdiff_t>(page.entries.size()));
    record.archivedPages = page.number + 1;
}

void ConfigHistory::checkSize(const ConfigRecord &record)
{
    const std::size_t size = serializeConfigRecord(record).size();
    if (size > MaxRecordBytes) {
        throw Error("the configuration record would have " + std::to_string(size) + " bytes",
                    "shorten the declaration; the store takes at most "
                        + std::to_string(MaxRecordBytes) + " bytes");
    }
}

std::optional<AuditEntry> ConfigHistory::findWrite(const ConfigRecord &record,
                                                   const std::string &writeId)
{
    // Lookups mostly concern recent writes, so the search starts at the newest entry.
    const auto found
        = std::find_if(record.audit.rbegin(), record.audit.rend(),
                       [&](const AuditEntry &entry) { return entry.writeId == writeId; });
    return found == record.audit.rend() ? std::nullopt : std::optional(*found);
}

std::string auditPageKey(std::uint64_t number)
{
    return "bronzeshed/audit/" + std::to_string(number);
}

std::string serializeAuditPage(const AuditPage &page)
{
    return serializeAuditEntries(page.entries);
}

} // namespace bronzeshed
