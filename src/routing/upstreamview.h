#ifndef BRONZESHED_ROUTING_UPSTREAMVIEW_H
#define BRONZESHED_ROUTING_UPSTREAMVIEW_H

#include "base/clock.h"
#include "membership/controlstate.h"
#include "routing/loadreport.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace bronzeshed {

/** State of an upstream as seen by the dispatcher. */
struct UpstreamView
{
    UpstreamInfo info;
    unsigned outstanding = 0; ///< attempts of this entry in progress
    unsigned slots = 2; ///< limit for attempts in progress
    bool draining = false; ///< the upstream reported that it is draining
    std::optional<unsigned> reportedLoad;
    std::optional<LoadReport> load; ///< newest load report
    TimePoint loadReceivedAt; ///< time at which the newest load report arrived
    int startedSinceReport = 0; ///< attempts of this entry started minus those ended since then
    std::optional<TimePoint>
        unresponsiveAt; ///< time of the last unanswered load probe, reset by an answer
    std::optional<Duration> serviceTime; ///< smoothed
    bool sameZone = false;
    bool sameRegion = false;
    bool cold = false; ///< in slow start
    bool slow = false; ///< considerably slower than the mean of its service
    bool trial = false; ///< ejected, and the next call decides on readmission

    bool hasQueue
        = true; ///< whether the upstream queues calls above its slots instead of refusing them

    /** Estimated current requests, based on load reports and the attempts of this entry. */
    unsigned estimatedRequests() const;

    bool hasFreeSlot() const { return this->outstanding < this->slots; }
    /** Whether one call may wait at the upstream, which keeps its next free slot from idling. */
    bool mayQueueCall() const
    {
        return this->hasQueue && this->sameRegion && !this->cold && !this->slow && !this->trial
            && this->outstanding == this->slots;
    }
};

/** Returns the number of attempts that the upstreams may run at the same time. */
std::size_t countSlots(const std::vector<UpstreamView *> &views);
/** Returns the number of attempts that wait at the upstreams for a slot. */
std::size_t countWaiting(const std::vector<UpstreamView *> &views);

} // namespace bronzeshed

#endif
