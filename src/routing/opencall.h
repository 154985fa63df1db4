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
    bool surveyed = false; ///< the load of upstreams was asked for this call
    std::vector<AttemptId> running; ///< at most an attempt and its hedge
    std::vector<UpstreamId> tried;
    Reason lastReason = Reason::DeadlinePassed;
};

/** An attempt in progress; it may outlive its call. */
struct OpenAttempt
{
    CallId call;
    ServiceName service;
    std::chrono::milliseconds answerWithin{0};
    bool ownRegion = true;
    AttemptPlace place;
};

} // namespace bronzeshed

#endif
