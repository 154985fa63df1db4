// The part of ConfigKeeper that handles leave marks.

#include "agent/configkeeper.h"

#include "base/error.h"
#include "base/logline.h"

#include <algorithm>

namespace bronzeshed {

namespace {

/** Fresh reads for a leave mark that lost against another change. */
constexpr int MaxMarkAttempts = 5;
/** Marks that wait for the store; more would mean that an operator repeats them by script. */
constexpr std::size_t MaxPendingMarks = 1024;
/**
 * A mark that waited longer for the store may be older than marks that others have recorded since,
 * so it does not override them.
 */
constexpr std::int64_t NewestMarkMs = 1000;

} // namespace

ConfigKeeper::MarkResult ConfigKeeper::putMark(const UpstreamId &upstream, bool leaving,
                                               const std::string &operatorName,
                                               const std::string &writeId)
{
    const std::string action = (leaving ? "leave " : "return ") + upstream.value();
    PendingMark next{{}, this->makeChange(operatorName, action, writeId)};
    // One at a time, so that two marks of one upstream never get the same counter.
    const std::lock_guard lock(this->marksMutex);
    const DrainFlags known = this->agent.record().drainFlags;
    const auto upstreams = this->agent.upstreams();
    const bool listed = std::any_of(upstreams.begin(), upstreams.end(),
                                    [&](const UpstreamInfo &info) { return info.id == upstream; });
    const auto mark = known.find(upstream);
    if (!listed && mark == known.end()) {
        return ChangeRefused{"upstream '" + upstream.value()
                             + "' is not in the instance list; check the id with 'status'"};
    }
    if (this->pending.size() >= MaxPendingMarks) {
        return ChangeRefused{"too many leave marks wait for the store; repeat when it answers"};
    }
    if (mark == known.end() && known.size() >= ConfigHistory::MaxDrainFlags) {
        return ChangeRefused{"there are already " + std::to_string(known.size())
                             + " leave marks; repeat when marks of removed upstreams have lapsed, "
                             + std::to_string(DrainFlagLifetime.count())
                             + " h after they were made"};
    }
    const auto now = static_cast<std::uint64_t>(this->clock());
    const std::uint64_t counter
        = mark == known.end() ? now : std::max(now, mark->second.counter + 1);
    next.marks = {{upstream, {counter, leaving}}};
    try {
        // Refuses a malformed operator name before the mark takes effect anywhere.
        ConfigHistory::withDrainFlags({}, ConfigVersion(1), next.marks, next.change);
    } catch (const Error &error) {
        return ChangeRefused{error.what()};
    }
    this->agent.mergeMarks(next.marks);
    this->pending.push_back(next);
    return next;
}

ChangeResult ConfigKeeper::recordMark(PendingMark mark)
{
    const std::lock_guard lock(this->storeMutex);
    const bool isNewest = this->clock() - mark.change.timeMs < NewestMarkMs;
    ChangeResult result = this->record(mark, isNewest);
    if (!std::holds_alternative<ChangeAccepted>(result)) {
        return MarkInForce{mark.change.writeId};
    }
    this->removePending(mark);
    return result;
}

std::size_t ConfigKeeper::recordPending()
{
    const std::lock_guard lock(this->storeMutex);
    while (auto mark = this->firstPending()) {
        const ChangeResult result = this->record(*mark, false);
        if (const auto *failure = std::get_if<StoreUnavailable>(&result)) {
            LogLine("leave_mark_not_recorded", LogLevel::Warning).add("error", failure->error);
        }
        if (!std::holds_alternative<ChangeAccepted>(result)) {
            break;
        }
        this->removePending(*mark);
    }
    const std::lock_guard marksLock(this->marksMutex);
    return this->pending.size();
}

std::optional<ConfigKeeper::PendingMark> ConfigKeeper::firstPending()
{
    const std::lock_guard lock(this->marksMutex);
    return this->pending.empty() ? std::nullopt : std::optional(this->pending.front());
}

void ConfigKeeper::removePending(const PendingMark &mark)
{
    const std::lock_guard lock(this->marksMutex);
    const auto found
        = std::find_if(this->pending.begin(), this->pending.end(), [&](const PendingMark &waiting) {
              return waiting.change.writeId == mark.change.writeId;
          });
    if (found != this->pending.end()) {
        this->pending.erase(found);
    }
}

ChangeResult ConfigKeeper::record(PendingMark &mark, bool isNewest)
{
    ChangeResult result = ChangeConflict{};
    for (int attempt = 0; attempt < MaxMarkAttempts; ++attempt) {
        result = this->tryRecord(mark, isNewest);
        if (!std::holds_alternative<ChangeConflict>(result)) {
            break;
        }
    }
    return result;
}

/** Raises the mark's counter if a mark that this agent did not know would win against it. */
void ConfigKeeper::raiseCounter(PendingMark &mark, const DrainFlags &known)
{
    auto &[upstream, own] = *mark.marks.begin();
    const auto found = known.find(upstream);
    if (found != known.end() && !supersedes(own, found->second) && !(found->second == own)) {
        own.counter = found->second.counter + 1;
        this->agent.mergeMarks(mark.marks);
    }
}

ChangeResult ConfigKeeper::tryRecord(PendingMark &mark, bool isNewest)
{
    try {
        const View view = this->readView();
        if (const auto entry = ConfigHistory::findWrite(view.newest, mark.change.writeId)) {
            return ChangeAccepted{entry->to};
        }
        this->requireNewest(view.newest);
        if (isNewest) {
            this->raiseCounter(mark, view.newest.drainFlags);
        }
        ConfigRecord next = ConfigHistory::withDrainFlags(view.newest, this->nextVersion(view),
                                                          mark.marks, mark.change);
        this->shorten(next);
        return this->commit(view.revision, next);
    } catch (const Error &error) {
        // The mark is in force already, so it waits whatever the reason.
        return StoreUnavailable{error.what()};
    }
}

} // namespace bronzeshed
