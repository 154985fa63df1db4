// The methods of ConfigKeeper for drain flags.

#include "agent/configkeeper.h"

#include "base/error.h"
#include "base/logline.h"

#include <algorithm>

namespace bronzeshed {

namespace {

/** Attempts to record a drain flag while other changes cause conflicts. */
constexpr int MaxRecordAttempts = 5;
/** Limit of drain flags that wait for the store. Only a script that repeats them reaches it. */
constexpr std::size_t MaxPendingDrainFlags = 1024;
/**
 * A drain flag that waited longer for the store may be older than flags that other agents have
 * recorded since, so it does not override them.
 */
constexpr std::int64_t OverrideWindowMs = 1000;

} // namespace

ConfigKeeper::DrainFlagResult ConfigKeeper::setDrainFlag(const UpstreamId &upstream, bool leaving,
                                                         const std::string &operatorName,
                                                         const std::string &writeId)
{
    const std::string action = (leaving ? "leave " : "return ") + upstream.value();
    PendingDrainFlag next{{}, this->makeChange(operatorName, action, writeId)};
    // Serialized, so that two flags of one upstream never get the same counter.
    const std::lock_guard lock(this->drainFlagsMutex);
    const DrainFlags current = this->agent.record().drainFlags;
    const auto upstreams = this->agent.upstreams();
    const bool listed = std::any_of(upstreams.begin(), upstreams.end(),
                                    [&](const UpstreamInfo &info) { return info.id == upstream; });
    const auto flag = current.find(upstream);
    if (!listed && flag == current.end()) {
        return ChangeRefused{"upstream '" + upstream.value()
                             + "' is not in the instance list; check the id with 'status'"};
    }
    if (this->pending.size() >= MaxPendingDrainFlags) {
        return ChangeRefused{"too many leave marks wait for the store; repeat when it answers"};
    }
    if (flag == current.end() && current.size() >= ConfigHistory::MaxDrainFlags) {
        return ChangeRefused{"there are already " + std::to_string(current.size())
                             + " leave marks; repeat when marks of removed upstreams have lapsed, "
                             + std::to_string(DrainFlagLifetime.count())
                             + " h after they were made"};
    }
    const auto now = static_cast<std::uint64_t>(this->clock());
    const std::uint64_t counter
        = flag == current.end() ? now : std::max(now, flag->second.counter + 1);
    next.flags = {{upstream, {counter, leaving}}};
    try {
        // Refuses a malformed operator name before the flag becomes active.
        ConfigHistory::withDrainFlags({}, ConfigVersion(1), next.flags, next.change);
    } catch (const Error &error) {
        return ChangeRefused{error.what()};
    }
    this->agent.adoptDrainFlags(next.flags);
    this->pending.push_back(next);
    return next;
}

ChangeResult ConfigKeeper::recordDrainFlag(PendingDrainFlag flag)
{
    const std::lock_guard lock(this->storeMutex);
    const bool isNewest = this->clock() - flag.change.timeMs < OverrideWindowMs;
    ChangeResult result = this->record(flag, isNewest);
    if (!std::holds_alternative<ChangeAccepted>(result)) {
        return DrainFlagActive{flag.change.writeId};
    }
    this->removePending(flag);
    return result;
}

std::size_t ConfigKeeper::recordPending()
{
    const std::lock_guard lock(this->storeMutex);
    while (auto flag = this->firstPending()) {
        const ChangeResult result = this->record(*flag, false);
        if (const auto *failure = std::get_if<StoreUnavailable>(&result)) {
            LogLine("drain_flag_not_recorded", LogLevel::Warning).add("error", failure->error);
        }
        if (!std::holds_alternative<ChangeAccepted>(result)) {
            break;
        }
        this->removePending(*flag);
    }
    const std::lock_guard drainFlagsLock(this->drainFlagsMutex);
    return this->pending.size();
}

std::optional<ConfigKeeper::PendingDrainFlag> ConfigKeeper::firstPending()
{
    const std::lock_guard lock(this->drainFlagsMutex);
    return this->pending.empty() ? std::nullopt : std::optional(this->pending.front());
}

void ConfigKeeper::removePending(const PendingDrainFlag &flag)
{
    const std::lock_guard lock(this->drainFlagsMutex);
    const auto found = std::find_if(this->pending.begin(), this->pending.end(),
                                    [&](const PendingDrainFlag &waiting) {
                                        return waiting.change.writeId == flag.change.writeId;
                                    });
    if (found != this->pending.end()) {
        this->pending.erase(found);
    }
}

ChangeResult ConfigKeeper::record(PendingDrainFlag &flag, bool isNewest)
{
    ChangeResult result = ChangeConflict{};
    for (int attempt = 0; attempt < MaxRecordAttempts; ++attempt) {
        result = this->tryRecord(flag, isNewest);
        if (!std::holds_alternative<ChangeConflict>(result)) {
            break;
        }
    }
    return result;
}

/** Raises the counter of @p flag if a flag that this agent did not hold would supersede it. */
void ConfigKeeper::raiseCounter(PendingDrainFlag &flag, const DrainFlags &current)
{
    auto &[upstream, own] = *flag.flags.begin();
    const auto found = current.find(upstream);
    if (found != current.end() && !supersedes(own, found->second) && !(found->second == own)) {
        own.counter = found->second.counter + 1;
        this->agent.adoptDrainFlags(flag.flags);
    }
}

ChangeResult ConfigKeeper::tryRecord(PendingDrainFlag &flag, bool isNewest)
{
    try {
        const StoreView view = this->readView();
        if (const auto entry = ConfigHistory::findWrite(view.newest, flag.change.writeId)) {
            return ChangeAccepted{entry->to};
        }
        this->requireNewestVersion(view.newest);
        if (isNewest) {
            this->raiseCounter(flag, view.newest.drainFlags);
        }
        ConfigRecord next = ConfigHistory::withDrainFlags(view.newest, this->nextVersion(view),
                                                          flag.flags, flag.change);
        this->shrinkToFit(next);
        return this->commit(view.revision, next);
    } catch (const Error &error) {
        // The flag is active already, so it stays pending regardless of the error.
        return StoreUnavailable{error.what()};
    }
}

} // namespace bronzeshed
