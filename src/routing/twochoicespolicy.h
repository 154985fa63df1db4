#ifndef BRONZESHED_ROUTING_TWOCHOICESPOLICY_H
#define BRONZESHED_ROUTING_TWOCHOICESPOLICY_H

#include "routing/selectionpolicy.h"

namespace bronzeshed {

/**
 * Baseline: chooses the upstream with the lower reported load of two random ones. The load is
 * reported with responses.
 */
class TwoChoicesPolicy : public SelectionPolicy
{
public:
    UpstreamView *choose(const std::vector<UpstreamView *> &candidates, Random &random) override;
};

} // namespace bronzeshed

#endif
