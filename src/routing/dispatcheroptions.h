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
};

} // namespace bronzeshed

#endif
