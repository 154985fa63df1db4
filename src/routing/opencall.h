#ifndef BRONZESHED_ROUTING_OPENCALL_H
#define BRONZESHED_ROUTING_OPENCALL_H

#include "base/timerservice.h"
#include "config/declaration.h"
#include "requests/outcome.h"
#include "routing/upstreamset.h"

#include <vector>

namespace bronzeshed {

/** A call that has no outcome yet. */
struct OpenCall
{
    CallId id;
    ClassTarget target;
    TimePoint deadline;
    TimerId expiry;
    unsigned attempts = 0;
    bool mayHaveRun = false; ///< an attempt ended with an unknown effect
    bool queued = false;
    unsigned surveys = 0; ///< how often upstreams were asked for their load for this call
    std::vector<AttemptId> running; ///< at most an attempt and its hedge
    std::vector<UpstreamId> tried;
    Reason lastReason = Reason::DeadlinePassed;
};

/** An attempt in progress; it may outlive its call. */
struct OpenAttempt
{
    CallId call;
    ServiceName service;
    ClassName className;
    std::chrono::milliseconds answerWithin{0};
    double slowdown = 0; ///< expected of the upstream by its report; 0 if that was not known
    bool ownRegion = true;
    AttemptPlace place;
};

} // namespace bronzeshed

#endif
