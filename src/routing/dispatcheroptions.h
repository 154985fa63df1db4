#ifndef BRONZESHED_ROUTING_DISPATCHEROPTIONS_H
#define BRONZESHED_ROUTING_DISPATCHEROPTIONS_H

#include "base/strongid.h"

#include <cstddef>

namespace bronzeshed {

/** Bounds and constants of a dispatcher. */
struct DispatcherOptions
{
    std::size_t maxCalls = 4096; ///< queued and in flight together
    unsigned slotsPerUpstream = 2;
    RegionName region; ///< of this entry
    ZoneName zone; ///< of this entry
    /**
     * Whether other entries send work to the same upstreams. Calls then do not wait here for a
     * slot, as only the upstream knows how many calls it has.
     */
    bool sharedUpstreams = false;
    /** Upstreams asked for their load before a call is placed; 0 asks none. */
    unsigned loadQueriesPerCall = 0;
    /** Whether repeatable calls are tried elsewhere after an answer with a server error. */
    bool retryServerErrors = false;
};

} // namespace bronzeshed

#endif
