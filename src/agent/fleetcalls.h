#ifndef BRONZESHED_AGENT_FLEETCALLS_H
#define BRONZESHED_AGENT_FLEETCALLS_H

#include "metrics/callcounts.h"

#include <chrono>
#include <cstddef>
#include <vector>

namespace bronzeshed {

/** Calls of the last minute at all instances. */
struct FleetCalls
{
    CallCountsByClass classes;
    std::size_t instances = 0; ///< instances that are not dead
    std::chrono::milliseconds age{0}; ///< since the instances were asked
    std::vector<InstanceId> notCounted; ///< those of them that did not answer in time
};

/** Port through which the operator API learns the calls of the fleet. Used by one thread. */
class FleetCallsSource
{
public:
    virtual ~FleetCallsSource() = default;
    /** May block for a few seconds. */
    virtual FleetCalls read() = 0;
};

} // namespace bronzeshed

#endif
