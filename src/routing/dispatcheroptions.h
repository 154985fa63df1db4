#ifndef BRONZESHED_ROUTING_DISPATCHEROPTIONS_H
#define BRONZESHED_ROUTING_DISPATCHEROPTIONS_H

#include "base/strongid.h"

#include <cstddef>

namespace bronzeshed {

/** Limits and settings of a dispatcher. */
struct DispatcherOptions
{
    std::size_t maxCalls = 4096; ///< limit for queued calls and calls in progress together
    unsigned slotsPerUpstream = 2;
    RegionName region; ///< region of this entry
    ZoneName zone; ///< availability zone of this entry
    /**
     * Whether other entries send calls to the same upstreams. Calls then do not wait in this entry
     * for a slot, because only the upstream has the total number of its calls.
     */
    bool sharedUpstreams = false;
    /** Number of upstreams probed for their load before a call is placed; 0 disables the probes. */
    unsigned loadProbesPerCall = 0;
    /** Whether repeatable calls are retried at another upstream after a server error (HTTP 5xx). */
    bool retryServerErrors = false;
};

} // namespace bronzeshed

#endif
