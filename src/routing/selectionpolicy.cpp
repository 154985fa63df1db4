#include "routing/selectionpolicy.h"

#include <tuple>

namespace bronzeshed {

UpstreamView *LeastOutstandingPolicy::choose(const std::vector<UpstreamView *> &candidates,
                                             Random &random)
{
    const auto cost = [](const UpstreamView &view) {
        return std::tuple(!view.sameRegion, view.outstanding, !view.sameZone);
    };
    UpstreamView *best = nullptr;
    std::uint64_t ties = 0;
    for (UpstreamView *view : candidates) {
        if (!view->hasFreeSlot()) {
            continue;
        }
        if (best == nullptr || cost(*view) < cost(*best)) {
            best = view;
            ties = 1;
        } else if (cost(*view) == cost(*best) && random.below(++ties) == 0) {
            best = view;
        }
    }
    return best;
}

} // namespace bronzeshed
