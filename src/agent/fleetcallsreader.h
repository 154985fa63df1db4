#ifndef BRONZESHED_AGENT_FLEETCALLSREADER_H
#define BRONZESHED_AGENT_FLEETCALLSREADER_H

#include "agent/configkeeperport.h"
#include "agent/fleetcalls.h"
#include "base/clock.h"

#include <optional>

namespace bronzeshed {

/**
 * Queries the call counts of all members that are not dead, with one request to each entry. The
 * counts are cached for a time that keeps the traffic within its limit when the status is polled.
 */
class FleetCallsReader : public FleetCallsSource
{
public:
    explicit FleetCallsReader(ConfigKeeperPort &agent);

    FleetCalls read() override;

private:
    FleetCalls queryEntries();

    ConfigKeeperPort &agent;
    SystemClock clock;
    std::optional<FleetCalls> newest;
    TimePoint readAt;
    Duration reuseTime = Duration::zero(); ///< cache lifetime of the newest counts
};

} // namespace bronzeshed

#endif
