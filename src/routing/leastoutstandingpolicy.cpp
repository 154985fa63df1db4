#include "routing/leastoutstandingpolicy.h"

namespace bronzeshed {

UpstreamView *LeastOutstandingPolicy::choose(const std::vector<UpstreamView *> &candidates,
                                             Random &random)
{
    return chooseCheapest(candidates, random,
                          [](const UpstreamView &view) { return view.outstanding; });
}

} // namespace bronzeshed
