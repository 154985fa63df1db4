#ifndef BRONZESHED_ROUTING_SELECTIONPOLICY_H
#define BRONZESHED_ROUTING_SELECTIONPOLICY_H

#include "base/random.h"
#include "routing/upstreamview.h"

#include <vector>

namespace bronzeshed {

/** Strategy that chooses the upstream for an attempt. */
class SelectionPolicy
{
public:
    virtual ~SelectionPolicy() = default;
    /**
     * Chooses among candidates that all accept attempts.
     * @return nullptr to keep the call in the queue
     */
    virtual UpstreamView *choose(const std::vector<UpstreamView *> &candidates, Random &random) = 0;
    /**
     * Chooses an upstream without a free slot at which a call may wait for the next one.
     * @return nullptr to keep the call in the queue of the entry
     */
    virtual UpstreamView *chooseForQueueing(const std::vector<UpstreamView *> & /*candidates*/,
                                            Random & /*random*/)
    {
        return nullptr;
    }
};

/**
 * Returns the candidate with the lowest cost, chosen at random among equals.
 * @param cost maps a view to a value with operator<
 */
template<typename Cost>
UpstreamView *chooseCheapest(const std::vector<UpstreamView *> &candidates, Random &random,
                             Cost cost)
{
    UpstreamView *best = nullptr;
    std::uint64_t ties = 0;
    for (UpstreamView *view : candidates) {
        if (best == nullptr || cost(*view) < cost(*best)) {
            best = view;
            ties = 1;
        } else if (!(cost(*best) < cost(*view)) && random.below(++ties) == 0) {
            best = view;
        }
    }
    return best;
}

} // namespace bronzeshed

#endif
