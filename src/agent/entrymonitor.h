#ifndef BRONZESHED_AGENT_ENTRYMONITOR_H
#define BRONZESHED_AGENT_ENTRYMONITOR_H

#include "base/clock.h"

#include <optional>

namespace bronzeshed {

/** Reason why an entry is considered lost. */
enum class EntryLoss { None, LinkBroken, Silent, NeverSeen };

const char *entryLossName(EntryLoss loss);

/**
 * Detects from its connections and reports whether the entry of this instance is running.
 * Not thread-safe.
 */
class EntryMonitor
{
public:
    explicit EntryMonitor(const Clock &clock);

    void linkOpened();
    void linkClosed();
    void reported();

    /** Returns whether and why the entry is lost now. Call at least every 500 ms. */
    EntryLoss check();

private:
    const Clock &clock;
    TimePoint started;
    TimePoint lastCheck;
    TimePoint lastReport;
    bool everReported = false;
    unsigned openLinks = 0;
    std::optional<TimePoint> disconnectedAt;
};

} // namespace bronzeshed

#endif
