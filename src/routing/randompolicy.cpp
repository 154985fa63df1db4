#include "routing/randompolicy.h"

namespace bronzeshed {

UpstreamView *RandomPolicy::choose(const std::vector<UpstreamView *> &candidates, Random &random)
{
    return candidates.empty() ? nullptr : candidates[random.below(candidates.size())];
}

} // namespace bronzeshed
