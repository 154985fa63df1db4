#ifndef BRONZESHED_ROUTING_UPSTREAMVIEW_H
#define BRONZESHED_ROUTING_UPSTREAMVIEW_H

#include "base/clock.h"
#include "membership/controlstate.h"
#include "routing/loadreport.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace bronzeshed {

/** What the dispatcher knows about an upstream. */
struct UpstreamView
{
    UpstreamInfo info;
    unsigned outstanding = 0; ///< attempts of this entry in progress
    unsigned slots = 2; ///< attempts that may be in progress now
    bool draining = false; ///< by its own report
    std::optional<unsigned> reportedLoad;
    std::optional<LoadReport> load; ///< newest report
    TimePoint loadAt; ///< when it arrived
    int startedSinceLoad = 0; ///< attempts of this entry started less those ended since then
    std::optional<TimePoint> silentAt; ///< when a load query got no answer, if none came since
    std::optional<Duration> serviceTime; ///< smoothed
    bool sameZone = false;
    bool sameRegion = false;
    bool cold = false; ///< in slow start
    bool slow = false; ///< clearly slower than the other upstreams of its service
    bool trial = false; ///< ejected, and the next call decides about its readmission

    bool queues = true; ///< keeps a call that it cannot start yet, instead of refusing it

    /** Requests that it has now, as far as reports and the own attempts tell. */
    unsigned estimatedRequests() const;

    bool hasFreeSlot() const { return this->outstanding < this->slots; }
    /** Whether one call may wait at the upstream, so that its next free slot is not idle. */
    bool mayQueueCall() const
    {
        return this->queues && this->sameRegion && !this->cold && !this->slow && !this->trial
            && this->outstanding == this->slots;
    }
};

/** Attempts that the upstreams may run at the same time. */
std::size_t countSlots(const std::vector<UpstreamView *> &views);
/** Attempts that wait at the upstreams for a slot. */
std::size_t countWaiting(const std::vector<UpstreamView *> &views);

} // namespace bronzeshed

#endif
