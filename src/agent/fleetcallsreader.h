#ifndef BRONZESHED_AGENT_FLEETCALLSREADER_H
#define BRONZESHED_AGENT_FLEETCALLSREADER_H

#include "agent/configkeeperport.h"
#include "agent/fleetcalls.h"
#include "base/clock.h"

#include <optional>

namespace bronzeshed {

/**
 * Asks the entries of all members that are not dead for their counts, one request to each. Counts
 * are used again for a while, so that watching the status keeps the traffic within its limit.
 */
class FleetCallsReader : public FleetCallsSource
{
public:
    explicit FleetCallsReader(ConfigKeeperPort &agent);

    FleetCalls read() override;

private:
    FleetCalls ask();

    ConfigKeeperPort &agent;
    SystemClock clock;
    std::optional<FleetCalls> newest;
    TimePoint readAt;
    Duration reuseTime = Duration::zero(); ///< of the newest counts
};

} // namespace bronzeshed

#endif
