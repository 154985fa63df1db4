#ifndef BRONZESHED_REPLAY_CALLRECORD_H
#define BRONZESHED_REPLAY_CALLRECORD_H

#include "base/clock.h"

#include <string>
#include <vector>

namespace bronzeshed {

/** How a replayed call ended. */
enum class CallEnd {
    Open, ///< the call has not ended, or was still open at the end of the replay
    Answered,
    NotRun,
    Unknown,
    Invalid,
    Wrong, ///< the answer was partial or belonged to another request
};

/** A request identity that a call used. */
struct UsedIdentity
{
    std::string id;
    bool reportedNotRun = false; ///< an entry or upstream reported that it did not run
};

/** Result of one call of a trace. */
struct CallRecord
{
    CallEnd end = CallEnd::Open;
    Duration latency = Duration::zero(); ///< from the scheduled start to the end
    unsigned attempts = 0;
    bool repeatable = false;
    bool upstreamFailed = false; ///< the answer was an error of the upstream (5xx)
    std::vector<UsedIdentity> identities; ///< in order of use; empty for a repeatable call
};

} // namespace bronzeshed

#endif
