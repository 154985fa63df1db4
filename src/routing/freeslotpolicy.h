#ifndef BRONZESHED_ROUTING_FREESLOTPOLICY_H
#define BRONZESHED_ROUTING_FREESLOTPOLICY_H

#include "routing/selectionpolicy.h"

namespace bronzeshed {

/** Only upstreams with a free slot; a call waits at the owner until there is
 * one. Own region first, trial calls before others, slow upstreams last, then the fewest
 * outstanding. */
class FreeSlotPolicy : public SelectionPolicy
{
public:
    UpstreamView *choose(const std::vector<UpstreamView *> &candidates, Random &random) override;
};

} // namespace bronzeshed

#endif
