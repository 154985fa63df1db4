#ifndef BRONZESHED_ROUTING_OPENCALL_H
#define BRONZESHED_ROUTING_OPENCALL_H

#include "base/timerservice.h"
#include "config/declaration.h"
#include "requests/outcome.h"
#include "routing/upstreamset.h"

#include <vector>

namespace bronzeshed {

/** State of a call that has no outcome yet. */
struct OpenCall
{
    CallId id;
    ClassTarget target;
    TimePoint arrival;
    TimePoint deadline;
    TimerId expiry;
    unsigned attempts = 0;
    bool mayHaveRun = false; ///< an attempt ended, and the upstream may have executed it
    bool queued = false;
    unsigned loadProbeRounds = 0; ///< load probe rounds started for this call
    std::vector<AttemptId> running; ///< at most one attempt and its hedge
    std::vector<UpstreamId> tried;
    Reason lastReason = Reason::DeadlinePassed;
};

/** State of an attempt in progress, which may outlive its call. */
struct OpenAttempt
{
    CallId call;
    ServiceName service;
    ClassName className;
    std::chrono::milliseconds answerWithin{0};
    double slowdown = 0; ///< expected from the load report; 0 without a current report
    bool ownRegion = true;
    AttemptPlacement placement;
};

} // namespace bronzeshed

#endif
