#ifndef BRONZESHED_ROUTING_ROUNDROBINPOLICY_H
#define BRONZESHED_ROUTING_ROUNDROBINPOLICY_H

#include "routing/selectionpolicy.h"

namespace bronzeshed {

/** Baseline: chooses the upstreams in turn, without a slot limit. */
class RoundRobinPolicy : public SelectionPolicy
{
public:
    UpstreamView *choose(const std::vector<UpstreamView *> &candidates, Random &random) override;

private:
    UpstreamId last;
};

} // namespace bronzeshed

#endif
