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
 * Changes the configuration record in the store. Calls other than putMark() block on the store, and
 * wait for each other.
 */
class ConfigKeeper
{
public:
    /** Wall-clock time in milliseconds since 1970, for audit entries. */
    using WallClock = std::function<std::int64_t()>;

    /** A mark that is in force, and the change that records it in the store. */
    struct PendingMark
    {
        DrainFlags marks;
        ConfigChange change;
    };
    using MarkResult = std::variant<PendingMark, ChangeRefused>;

    ConfigKeeper(ConfigKeeperPort &agent, KeyValueStore &store, Random &random, WallClock clock);

    /**
     * Replaces the declaration if the configuration is still of version @p base.
     * @param writeId id of this change; a new one is made if it is empty
     */
    ChangeResult apply(const std::string &declarationText, ConfigVersion base,
                       const std::string &operatorName, const std::string &writeId = {});

    /**
     * Marks an upstream as leaving or returned, in force at once. Never waits for the store nor for
     * a call that does. recordPending() records the mark if recordMark() is not called.
     */
    MarkResult putMark(const UpstreamId &upstream, bool leaving, const std::string &operatorName,
                       const std::string &writeId = {});

    /** Records a mark in the store; if that fails, recordPending() does so later. */
    ChangeResult recordMark(PendingMark mark);

    /** Records the leave marks that could not be recorded yet. @return how many still wait */
    std::size_t recordPending();

    /**
     * Swaps the agent's record back in if the store holds a lower version or lacks a leave mark,
     * and this agent is first.
     * @return whether the store was written
     */
    bool restoreIfLower();

private:
    /** What the store holds, and the newer one of its record and the agent's. */
    struct View
    {
        std::uint64_t revision = 0;
        ConfigRecord stored;
        ConfigRecord newest;
    };

    View readView();
    ConfigRecord newestRecord(const ConfigRecord &stored, const ConfigRecord &own);
    std::vector<ConfigVersion> fleetVersions(bool liveOnly);
    /** @throws UnavailableError if a live member has a version that is neither here nor stored */
    void requireNewest(const ConfigRecord &newest);
    ConfigVersion nextVersion(const View &view);
    std::optional<ConfigRecord> restoredRecord(const View &view, const ConfigRecord &own,
                                               const ConfigChange &change);
    void prune(ConfigRecord &record);
    void shorten(ConfigRecord &record);
    void archive(ConfigRecord &record);
    bool writePage(const AuditPage &page);
    ChangeResult commit(std::uint64_t revision, const ConfigRecord &record);
    std::optional<ChangeResult> settle(const ConfigRecord &record, std::uint64_t revision,
                                       bool maybeWritten);
    std::optional<PendingMark> firstPending();
    void removePending(const PendingMark &mark);
    /** @param isNewest whether the mark's command is newer than all that the store holds */
    ChangeResult record(PendingMark &mark, bool isNewest);
    ChangeResult tryRecord(PendingMark &mark, bool isNewest);
    void raiseCounter(PendingMark &mark, const DrainFlags &known);
    ConfigChange makeChange(const std::string &operatorName, std::string action,
                            const std::string &writeId);

    ConfigKeeperPort &agent;
    KeyValueStore &store;
    Random &random;
    WallClock clock;
    std::mutex storeMutex; ///< held during calls to the store; taken before marksMutex
    std::mutex marksMutex; ///< of what follows and of random; never held during such a call
    std::deque<PendingMark> pending; ///< marks in force that the store does not hold yet
};

} // namespace bronzeshed

#endif
