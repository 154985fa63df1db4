#include "routing/roundrobinpolicy.h"

namespace bronzeshed {

UpstreamView *RoundRobinPolicy::choose(const std::vector<UpstreamView *> &candidates,
                                       Random &random)
{
    if (candidates.empty()) {
        return nullptr;
    }
    if (this->last.isEmpty()) {
        // A random first upstream prevents several entries from choosing in lockstep.
        this->last = candidates[random.below(candidates.size())]->info.id;
    }
    UpstreamView *chosen = candidates.front();
    for (UpstreamView *view : candidates) {
        if (this->last < view->info.id) {
            chosen = view;
            break;
        }
    }
    this->last = chosen->info.id;
    return chosen;
}

} // namespace bronzeshed
