#include "agent/configkeeper.h"

#include "base/error.h"
#include "base/logline.h"

#include <algorithm>
#include <cstdio>

namespace bronzeshed {

namespace {

/** Attempts of one swap whose reply is lost, before its outcome is reported as unknown. */
constexpr int MaxSwaps = 3;
/** Page numbers tried if the store holds pages that the record does not count. */
constexpr int MaxPageAttempts = 1000;
const std::string RestoreOperator = "bronzeshed";

ConfigRecord parseStored(const StoredValue &stored)
{
    return stored.revision == 0 ? ConfigRecord{} : parseConfigRecord(stored.value);
}

ChangeConflict conflictWith(const ConfigRecord &current)
{
    const std::string name = current.audit.empty() ? "" : current.audit.back().operatorName;
    return {name, current.version};
}

} // namespace

ConfigKeeper::ConfigKeeper(ConfigKeeperPort &agent, KeyValueStore &store, Random &random,
                           WallClock clock)
    : agent(agent)
    , store(store)
    , random(random)
    , clock(std::move(clock))
{
}

ChangeResult ConfigKeeper::apply(const std::string &declarationText, ConfigVersion base,
                                 const std::string &operatorName, const std::string &writeId)
{
    const std::lock_guard lock(this->storeMutex);
    const ConfigChange change = this->makeChange(operatorName, "apply", writeId);
    try {
        // Refuses an invalid declaration before any call to the store.
        ConfigHistory::withDeclaration({}, base.next(), declarationText, change);
        const StoreView view = this->readView();
        if (const auto entry = ConfigHistory::findWrite(view.newest, change.writeId)) {
            return ChangeAccepted{entry->to};
        }
        if (view.newest.version != base) {
            return conflictWith(view.newest);
        }
        this->requireNewestVersion(view.newest);
        ConfigRecord next = ConfigHistory::withDeclaration(view.newest, this->nextVersion(view),
                                                           declarationText, change);
        this->shrinkToFit(next);
        return this->commit(view.revision, next);
    } catch (const UnavailableError &error) {
        return StoreUnavailable{error.what()};
    } catch (const Error &error) {
        return ChangeRefused{error.what()};
    }
}

bool ConfigKeeper::restoreStoredRecord()
{
    const std::lock_guard lock(this->storeMutex);
    if (!this->agent.isFirstForConfig()) {
        return false;
    }
    try {
        const ConfigRecord own = this->agent.record();
        const StoreView view = this->readView();
        const ConfigChange change = this->makeChange(RestoreOperator, "restore", {});
        auto next = this->restoredRecord(view, own, change);
        if (!next) {
            return false;
        }
        this->shrinkToFit(*next);
        const ChangeResult result = this->commit(view.revision, *next);
        LogLine("config_restored", LogLevel::Warning)
            .add("stored_version", view.stored.version.value())
            .add("version", next->version.value())
            .add("accepted", std::holds_alternative<ChangeAccepted>(result));
        return std::holds_alternative<ChangeAccepted>(result);
    } catch (const Error &error) {
        LogLine("config_restore_failed", LogLevel::Warning).add("error", error.what());
        return false;
    }
}

/** Returns nothing if the store holds everything that the fleet holds. */
std::optional<ConfigRecord> ConfigKeeper::restoredRecord(const StoreView &view,
                                                         const ConfigRecord &own,
                                                         const ConfigChange &change)
{
    if (ConfigHistory::isNewer(view.stored.version, own.version)) {
        this->requireNewestVersion(own);
        return ConfigHistory::restored(own, view.stored, this->nextVersion(view), change);
    }
    // The agent that accepted a drain flag may have stopped before it could record the flag.
    ConfigRecord complete = view.newest;
    this->dropExpiredDrainFlags(complete);
    if (complete.drainFlags == view.stored.drainFlags) {
        return std::nullopt;
    }
    this->requireNewestVersion(complete);
    return ConfigHistory::withDrainFlags(complete, this->nextVersion(view), {}, change);
}

ConfigKeeper::StoreView ConfigKeeper::readView()
{
    const StoredValue stored = this->store.get(ConfigKey);
    StoreView view;
    view.revision = stored.revision;
    view.stored = parseStored(stored);
    view.newest = this->newestRecord(view.stored, this->agent.record());
    return view;
}

ConfigRecord ConfigKeeper::newestRecord(const ConfigRecord &stored, const ConfigRecord &own)
{
    if (ConfigHistory::isNewer(own.version, stored.version)) {
        this->agent.adoptRecord(stored);
    }
    const bool ownIsNewer = ConfigHistory::isNewer(stored.version, own.version);
    ConfigRecord newest = ownIsNewer ? own : stored;
    if (ownIsNewer) {
        ConfigHistory::mergeHistory(newest, stored);
    } else {
        mergeDrainFlags(newest.drainFlags, own.drainFlags);
    }
    return newest;
}

std::vector<ConfigVersion> ConfigKeeper::fleetVersions(bool liveOnly)
{
    std::vector<ConfigVersion> versions;
    for (const Member &member : this->agent.members()) {
        if (!liveOnly || member.state != MemberState::Dead) {
            versions.push_back(member.configVersion);
        }
    }
    return versions;
}

void ConfigKeeper::requireNewestVersion(const ConfigRecord &newest)
{
    for (const ConfigVersion version : this->fleetVersions(true)) {
        if (ConfigHistory::isNewer(newest.version, version)) {
            throw UnavailableError("a live instance has configuration version "
                                       + std::to_string(version.value())
                                       + " in force, which neither this agent nor the store holds",
                                   "repeat in a few seconds, or use that instance's agent");
        }
    }
}

ConfigVersion ConfigKeeper::nextVersion(const StoreView &view)
{
    return ConfigHistory::nextVersion(view.revision, view.stored.version, view.newest.version,
                                      this->fleetVersions(false));
}

void ConfigKeeper::dropExpiredDrainFlags(ConfigRecord &record)
{
    std::set<UpstreamId> listed;
    for (const UpstreamInfo &upstream : this->agent.upstreams()) {
        listed.insert(upstream.id);
    }
    removeExpiredDrainFlags(record.drainFlags, listed, this->clock());
}

/** Reduces the record so that it fits into one value of the store. */
void ConfigKeeper::shrinkToFit(ConfigRecord &record)
{
    this->dropExpiredDrainFlags(record);
    this->archiveAuditEntries(record);
    ConfigHistory::checkSize(record);
}

/** Moves the oldest audit entries to pages while the record holds too many. */
void ConfigKeeper::archiveAuditEntries(ConfigRecord &record)
{
    for (int attempt = 0; attempt < MaxPageAttempts; ++attempt) {
        auto page = ConfigHistory::pageToArchive(record);
        if (!page) {
            return;
        }
        if (this->writePage(*page)) {
            ConfigHistory::trim(record, *page);
        } else {
            ++record.archivedPages;
        }
    }
    throw UnavailableError("no free audit page was found",
                           "check the keys below bronzeshed/audit in the store");
}

/** Returns false if the page already exists with other entries. */
bool ConfigKeeper::writePage(const AuditPage &page)
{
    const std::string key = auditPageKey(page.number);
    const std::string text = serializeAuditPage(page);
    if (this->store.compareAndSwap(key, 0, text) == SwapResult::Swapped) {
        return true;
    }
    const StoredValue found = this->store.get(key);
    if (found.revision == 0) {
        throw UnavailableError("an audit page could not be written",
                               "repeat when the store answers again");
    }
    return found.value == text;
}

ChangeResult ConfigKeeper::commit(std::uint64_t revision, const ConfigRecord &record)
{
    const std::string text = serializeConfigRecord(record);
    bool maybeWritten = false;
    for (int attempt = 0; attempt < MaxSwaps; ++attempt) {
        const SwapResult result = this->store.compareAndSwap(ConfigKey, revision, text);
        if (result == SwapResult::Swapped) {
            this->agent.adoptRecord(record);
            return ChangeAccepted{record.version};
        }
        maybeWritten = maybeWritten || result == SwapResult::Unknown;
        if (const auto outcome = this->resolveSwap(record, revision, maybeWritten)) {
            return *outcome;
        }
    }
    return ChangeUnknown{record.writeId};
}

/** Reads the record back to find the outcome of a swap. Returns nothing if it must be repeated. */
std::optional<ChangeResult> ConfigKeeper::resolveSwap(const ConfigRecord &record,
                                                      std::uint64_t revision, bool maybeWritten)
{
    try {
        const StoredValue stored = this->store.get(ConfigKey);
        if (stored.revision == revision) {
            return std::nullopt;
        }
        const ConfigRecord found = parseStored(stored);
        if (const auto entry = ConfigHistory::findWrite(found, record.writeId)) {
            this->agent.adoptRecord(found);
            return ChangeAccepted{entry->to};
        }
        // If the store reverted to an older state after the swap, the outcome cannot be determined.
        if (maybeWritten && found.version < record.version) {
            return ChangeUnknown{record.writeId};
        }
        this->agent.adoptRecord(found);
        return conflictWith(found);
    } catch (const Error &error) {
        if (maybeWritten) {
            return ChangeUnknown{record.writeId};
        }
        return StoreUnavailable{std::string("another change came first and cannot be read: ")
                                + error.what()};
    }
}

ConfigChange ConfigKeeper::makeChange(const std::string &operatorName, std::string action,
                                      const std::string &writeId)
{
    std::string id = writeId;
    if (id.empty()) {
        const std::lock_guard lock(this->drainFlagsMutex);
        char buffer[33];
        std::snprintf(buffer, sizeof buffer, "%016llx%016llx",
                      static_cast<unsigned long long>(this->random.next()),
                      static_cast<unsigned long long>(this->random.next()));
        id = buffer;
    }
    return {this->clock(), operatorName, std::move(action), id};
}

} // namespace bronzeshed
