#ifndef BRONZESHED_GATEWAY_CALLLOG_H
#define BRONZESHED_GATEWAY_CALLLOG_H

#include "base/clock.h"
#include "base/strongid.h"
#include "requests/outcome.h"
#include "routing/dispatcheroutput.h"
#include "routing/tokenbucket.h"

#include <cstdint>

namespace bronzeshed {

/** Logged properties of a finished call. */
struct FinishedCall
{
    RequestId id;
    ClassName className;
    Outcome outcome = Outcome::Answered;
    Reason reason = Reason::None;
    unsigned status = 0; ///< sent to the caller
    unsigned attempts = 0;
    Duration latency = Duration::zero();
    ConfigVersion version; ///< active version
    Duration viewAge = Duration::zero(); ///< since the copy of the store was known to be complete
};

/** Logs the routing decisions about calls. Lines above a rate limit are dropped and counted. */
class CallLog
{
public:
    explicit CallLog(const Clock &clock);

    void attemptStarted(const RequestId &id, const AttemptOrder &order);
    void attemptEnded(const RequestId &id, AttemptId attempt, const AttemptReport &report);
    void callFinished(const FinishedCall &call);

private:
    /** Takes one line from the rate limit. @return false if the line must be dropped */
    bool mayLog();

    const Clock &clock;
    TokenBucket lineBudget;
    std::uint64_t droppedLines = 0; ///< since the last logged line
};

} // namespace bronzeshed

#endif
