#ifndef BRONZESHED_GATEWAY_CALLLOG_H
#define BRONZESHED_GATEWAY_CALLLOG_H

#include "base/clock.h"
#include "base/strongid.h"
#include "requests/outcome.h"
#include "routing/dispatcheroutput.h"
#include "routing/tokenbucket.h"

#include <cstdint>

namespace bronzeshed {

/** What is logged about a finished call. */
struct FinishedCall
{
    RequestId id;
    ClassName className;
    Outcome outcome = Outcome::Answered;
    Reason reason = Reason::None;
    unsigned status = 0; ///< sent to the caller
    unsigned attempts = 0;
    Duration latency = Duration::zero();
    ConfigVersion version; ///< in force
};

/** Logs the decisions about calls. Above a rate it drops lines and counts them. */
class CallLog
{
public:
    explicit CallLog(const Clock &clock);

    void attemptStarted(const RequestId &id, const AttemptOrder &order);
    void attemptEnded(const RequestId &id, AttemptId attempt, const AttemptReport &report);
    void callFinished(const FinishedCall &call);

private:
    bool mayLog();

    const Clock &clock;
    TokenBucket lines;
    std::uint64_t dropped = 0; ///< since the last line
};

} // namespace bronzeshed

#endif
