#ifndef BRONZESHED_AGENT_ENTRYWATCH_H
#define BRONZESHED_AGENT_ENTRYWATCH_H

#include "base/clock.h"

#include <optional>

namespace bronzeshed {

/** Why an entry counts as lost. */
enum class EntryLoss { None, LinkBroken, Silent, NeverSeen };

const char *entryLossName(EntryLoss loss);

/** Tells from connections and reports whether the entry of this instance runs. Not thread-safe. */
class EntryWatch
{
public:
    explicit EntryWatch(const Clock &clock);

    void linkOpened();
    void linkClosed();
    void reported();

    /** Whether the entry is lost as of now. Call at least every 500 ms. */
    EntryLoss check();

private:
    const Clock &clock;
    TimePoint started;
    TimePoint lastCheck;
    TimePoint lastReport;
    bool everReported = false;
    unsigned openLinks = 0;
    std::optional<TimePoint> brokenAt;
};

} // namespace bronzeshed

#endif
