#ifndef BRONZESHED_AGENT_FLEETCALLS_H
#define BRONZESHED_AGENT_FLEETCALLS_H

#include "metrics/callcounts.h"

#include <chrono>
#include <cstddef>
#include <vector>

namespace bronzeshed {

/** Call counts of the last minute, summed over all instances. */
struct FleetCalls
{
    CallCountsByClass classes;
    std::size_t instances = 0; ///< instances that are not dead
    std::chrono::milliseconds age{0}; ///< since the instances were queried
    std::vector<InstanceId> notCounted; ///< instances that did not answer in time
};

/** Port through which the operator API reads the call counts of the fleet. Not thread-safe. */
class FleetCallsSource
{
public:
    virtual ~FleetCallsSource() = default;
    /** Reads the counts. May block for a few seconds. */
    virtual FleetCalls read() = 0;
};

} // namespace bronzeshed

#endif
