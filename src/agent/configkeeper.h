#ifndef BRONZESHED_AGENT_CONFIGKEEPER_H
#define BRONZESHED_AGENT_CONFIGKEEPER_H

#include "agent/configkeeperport.h"
#include "agent/configkeeperresult.h"
#include "base/random.h"
#include "config/confighistory.h"
#include "platform/keyvaluestore.h"

#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <variant>

namespace bronzeshed {

/**
 * Changes the configuration record in the store. All calls except setDrainFlag() block on the store
 * and are serialized.
 */
class ConfigKeeper
{
public:
    /** Wall-clock time in milliseconds since 1970, for audit entries. */
    using WallClock = std::function<std::int64_t()>;

    /** A drain flag that is active, and the change that records it in the store. */
    struct PendingDrainFlag
    {
        DrainFlags flags;
        ConfigChange change;
    };
    using DrainFlagResult = std::variant<PendingDrainFlag, ChangeRefused>;

    ConfigKeeper(ConfigKeeperPort &agent, KeyValueStore &store, Random &random, WallClock clock);

    /**
     * Replaces the declaration if the configuration still has version @p base.
     * @param writeId id of this change; a random one is generated if it is empty
     */
    ChangeResult apply(const std::string &declarationText, ConfigVersion base,
                       const std::string &operatorName, const std::string &writeId = {});

    /**
     * Sets or clears the drain flag of an upstream, which becomes active at once. Waits neither
     * for the store nor for a call that does. recordPending() records the flag if
     * recordDrainFlag() is not called.
     */
    DrainFlagResult setDrainFlag(const UpstreamId &upstream, bool leaving,
                                 const std::string &operatorName, const std::string &writeId = {});

    /** Records a drain flag in the store. If that fails, recordPending() records it later. */
    ChangeResult recordDrainFlag(PendingDrainFlag flag);

    /** Records the drain flags that the store does not hold yet. @return number still pending */
    std::size_t recordPending();

    /**
     * Writes the agent's record to the store if the store holds a lower version or lacks a drain
     * flag, and this agent is first in rendezvous order.
     * @return whether the store was written
     */
    bool restoreStoredRecord();

private:
    /** The record in the store, and the newer one of that record and the agent's. */
    struct StoreView
    {
        std::uint64_t revision = 0;
        ConfigRecord stored;
        ConfigRecord newest;
    };

    StoreView readView();
    ConfigRecord newestRecord(const ConfigRecord &stored, const ConfigRecord &own);
    std::vector<ConfigVersion> fleetVersions(bool liveOnly);
    /** @throws UnavailableError if a live member has a newer version than @p newest */
    void requireNewestVersion(const ConfigRecord &newest);
    ConfigVersion nextVersion(const StoreView &view);
    std::optional<ConfigRecord> restoredRecord(const StoreView &view, const ConfigRecord &own,
                                               const ConfigChange &change);
    void dropExpiredDrainFlags(ConfigRecord &record);
    void shrinkToFit(ConfigRecord &record);
    void archiveAuditEntries(ConfigRecord &record);
    bool writePage(const AuditPage &page);
    ChangeResult commit(std::uint64_t revision, const ConfigRecord &record);
    std::optional<ChangeResult> resolveSwap(const ConfigRecord &record, std::uint64_t revision,
                                            bool maybeWritten);
    std::optional<PendingDrainFlag> firstPending();
    void removePending(const PendingDrainFlag &flag);
    /** @param isNewest whether the operator's command is newer than all flags in the store */
    ChangeResult record(PendingDrainFlag &flag, bool isNewest);
    ChangeResult tryRecord(PendingDrainFlag &flag, bool isNewest);
    void raiseCounter(PendingDrainFlag &flag, const DrainFlags &current);
    ConfigChange makeChange(const std::string &operatorName, std::string action,
                            const std::string &writeId);

    ConfigKeeperPort &agent;
    KeyValueStore &store;
    Random &random;
    WallClock clock;
    std::mutex storeMutex; ///< held during calls to the store; locked before drainFlagsMutex
    std::mutex drainFlagsMutex; ///< guards pending and random; never held during calls to the store
    std::deque<PendingDrainFlag> pending; ///< active drain flags that the store does not hold yet
};

} // namespace bronzeshed

#endif
