#include "agent/entrywatch.h"

namespace bronzeshed {

namespace {

/** An entry opens a new connection within 200 ms after it lost one. */
constexpr std::chrono::milliseconds ReconnectLimit{1000};
/** An entry reports at least every second; a longer silence means that it is frozen. */
constexpr std::chrono::seconds SilenceLimit{4};
/** How long a new agent waits for its entry before it declares the former entry dead. */
constexpr std::chrono::seconds FirstReportLimit{5};
/** A longer time between two checks means that this process itself was frozen. */
constexpr std::chrono::milliseconds GapLimit{1500};

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

EntryWatch::EntryWatch(const Clock &clock)
    : clock(clock)
    , started(clock.now())
    , lastCheck(clock.now())
{
}

void EntryWatch::linkOpened()
{
    ++this->openLinks;
    this->brokenAt.reset();
}

void EntryWatch::linkClosed()
{
    if (this->openLinks > 0 && --this->openLinks == 0) {
        this->brokenAt = this->clock.now();
    }
}

void EntryWatch::reported()
{
    this->everReported = true;
    this->lastReport = this->clock.now();
}

EntryLoss EntryWatch::check()
{
    const TimePoint now = this->clock.now();
    if (now - this->lastCheck > GapLimit) {
        // The entry may have reported while this process was frozen; that is still unread.
        this->started = now;
        this->lastReport = now;
        if (this->brokenAt) {
            this->brokenAt = now;
        }
    }
    this->lastCheck = now;
    if (!this->everReported) {
        const bool waited = now - this->started >= FirstReportLimit;
        return waited ? EntryLoss::NeverSeen : EntryLoss::None;
    }
    if (this->openLinks == 0 && this->brokenAt && now - *this->brokenAt >= ReconnectLimit) {
        return EntryLoss::LinkBroken;
    }
    return now - this->lastReport >= SilenceLimit ? EntryLoss::Silent : EntryLoss::None;
}

} // namespace bronzeshed
