#include "agent/entrymonitor.h"

namespace bronzeshed {

namespace {

/** An entry reconnects within 200 ms after it lost its connection. */
constexpr std::chrono::milliseconds ReconnectTimeout{1000};
/** An entry reports at least every second; without reports for this time it is frozen. */
constexpr std::chrono::seconds ReportTimeout{4};
/** Time for which a new agent waits for its entry before it declares the former entry dead. */
constexpr std::chrono::seconds FirstReportTimeout{5};
/** A longer time between two checks means that this process was suspended. */
constexpr std::chrono::milliseconds MaxCheckGap{1500};

} // namespace

const char *entryLossName(EntryLoss loss)
{
    switch (loss) {
    case EntryLoss::None:
        return "none";
    case EntryLoss::LinkBroken:
        return "link_broken";
    case EntryLoss::Silent:
        return "silent";
    case EntryLoss::NeverSeen:
        return "never_seen";
    }
    return "none";
}

EntryMonitor::EntryMonitor(const Clock &clock)
    : clock(clock)
    , started(clock.now())
    , lastCheck(clock.now())
{
}

void EntryMonitor::linkOpened()
{
    ++this->openLinks;
    this->disconnectedAt.reset();
}

void EntryMonitor::linkClosed()
{
    if (this->openLinks > 0 && --this->openLinks == 0) {
        this->disconnectedAt = this->clock.now();
    }
}

void EntryMonitor::reported()
{
    this->everReported = true;
    this->lastReport = this->clock.now();
}

EntryLoss EntryMonitor::check()
{
    const TimePoint now = this->clock.now();
    if (now - this->lastCheck > MaxCheckGap) {
        // Reports that arrived while this process was suspended may still be unread.
        this->started = now;
        this->lastReport = now;
        if (this->disconnectedAt) {
            this->disconnectedAt = now;
        }
    }
    this->lastCheck = now;
    if (!this->everReported) {
        const bool waited = now - this->started >= FirstReportTimeout;
        return waited ? EntryLoss::NeverSeen : EntryLoss::None;
    }
    if (this->openLinks == 0 && this->disconnectedAt
        && now - *this->disconnectedAt >= ReconnectTimeout) {
        return EntryLoss::LinkBroken;
    }
    return now - this->lastReport >= ReportTimeout ? EntryLoss::Silent : EntryLoss::None;
}

} // namespace bronzeshed
