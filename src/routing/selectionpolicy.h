#ifndef BRONZESHED_ROUTING_SELECTIONPOLICY_H
#define BRONZESHED_ROUTING_SELECTIONPOLICY_H

#include "base/clock.h"
#include "base/random.h"
#include "membership/controlstate.h"

#include <memory>
#include <optional>
#include <vector>

namespace bronzeshed {

/** What the dispatcher knows about an upstream. */
struct UpstreamView
{
    UpstreamInfo info;
    unsigned outstanding = 0; ///< attempts of this entry in progress
    unsigned slots = 2;
    bool draining = false; ///< by its own report
    std::optional<unsigned> reportedLoad;
    std::optional<Duration> serviceTime; ///< smoothed
    bool sameZone = false;
    bool sameRegion = false;

    bool hasFreeSlot() const { return this->outstanding < this->slots; }
};

/** Chooses the upstream for an attempt. */
class SelectionPolicy
{
public:
    virtual ~SelectionPolicy() = default;
    /**
     * Chooses among candidates that may all take work.
     * @return nullptr to keep the call waiting
     */
    virtual UpstreamView *choose(const std::vector<UpstreamView *> &candidates, Random &random) = 0;
};

/** Least outstanding attempts among upstreams with a free slot; own zone, then own region first. */
class LeastOutstandingPolicy : public SelectionPolicy
{
public:
    UpstreamView *choose(const std::vector<UpstreamView *> &candidates, Random &random) override;
};

} // namespace bronzeshed

#endif
