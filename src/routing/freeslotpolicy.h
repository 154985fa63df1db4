#ifndef BRONZESHED_ROUTING_FREESLOTPOLICY_H
#define BRONZESHED_ROUTING_FREESLOTPOLICY_H

#include "routing/selectionpolicy.h"

namespace bronzeshed {

/**
 * Chooses among upstreams with a free slot; a call waits at the owner entry until there is one.
 * Prefers the own region, then trial calls, upstreams that are not slow, the fewest outstanding
 * attempts and the own availability zone, in this order.
 */
class FreeSlotPolicy : public SelectionPolicy
{
public:
    UpstreamView *choose(const std::vector<UpstreamView *> &candidates, Random &random) override;
};

} // namespace bronzeshed

#endif
