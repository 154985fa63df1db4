#ifndef BRONZESHED_REPLAY_CALLRECORD_H
#define BRONZESHED_REPLAY_CALLRECORD_H

#include "base/clock.h"

#include <string>
#include <vector>

namespace bronzeshed {

/** How a replayed call ended. */
enum class CallEnd {
    Open, ///< not yet, or never
    Answered,
    NotRun,
    Unknown,
    Invalid,
    Wrong, ///< the answer was partial or belonged to another request
};

/** An identity that a call was sent under. */
struct UsedIdentity
{
    std::string id;
    bool saidNotRun = false; ///< the caller was told that it did not run
};

/** What became of one call of a trace. */
struct CallRecord
{
    CallEnd end = CallEnd::Open;
    Duration latency = Duration::zero(); ///< from the scheduled time to the end
    unsigned attempts = 0;
    bool repeatable = false;
    bool upstreamFailed = false; ///< the answer was an error of the upstream (5xx)
    std::vector<UsedIdentity> identities; ///< of a call that is not repeatable
};

} // namespace bronzeshed

#endif
