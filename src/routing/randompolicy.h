#ifndef BRONZESHED_ROUTING_RANDOMPOLICY_H
#define BRONZESHED_ROUTING_RANDOMPOLICY_H

#include "routing/selectionpolicy.h"

namespace bronzeshed {

/** Baseline: chooses an upstream uniformly at random, without a slot limit. */
class RandomPolicy : public SelectionPolicy
{
public:
    UpstreamView *choose(const std::vector<UpstreamView *> &candidates, Random &random) override;
};

} // namespace bronzeshed

#endif
