#ifndef BRONZESHED_ROUTING_LEASTOUTSTANDINGPOLICY_H
#define BRONZESHED_ROUTING_LEASTOUTSTANDINGPOLICY_H

#include "routing/selectionpolicy.h"

namespace bronzeshed {

/** Baseline: chooses the upstream with the fewest attempts of this entry, without a slot limit. */
class LeastOutstandingPolicy : public SelectionPolicy
{
public:
    UpstreamView *choose(const std::vector<UpstreamView *> &candidates, Random &random) override;
};

} // namespace bronzeshed

#endif
