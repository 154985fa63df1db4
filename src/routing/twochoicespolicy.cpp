#include "routing/twochoicespolicy.h"

namespace bronzeshed {

UpstreamView *TwoChoicesPolicy::choose(const std::vector<UpstreamView *> &candidates,
                                       Random &random)
{
    if (candidates.empty()) {
        return nullptr;
    }
    UpstreamView *first = candidates[random.below(candidates.size())];
    UpstreamView *second = candidates[random.below(candidates.size())];
    return second->reportedLoad.value_or(0) < first->reportedLoad.value_or(0) ? second : first;
}

} // namespace bronzeshed
