#include "routing/freeslotpolicy.h"

#include <tuple>

namespace bronzeshed {

UpstreamView *FreeSlotPolicy::choose(const std::vector<UpstreamView *> &candidates, Random &random)
{
    std::vector<UpstreamView *> free;
    for (UpstreamView *view : candidates) {
        if (view->hasFreeSlot()) {
            free.push_back(view);
        }
    }
    return chooseCheapest(free, random, [](const UpstreamView &view) {
        // A cold upstream counts one extra attempt, so it is used only when others are busier.
        const unsigned busy = view.outstanding + (view.cold ? 1 : 0);
        return std::tuple(!view.sameRegion, !view.trial, view.slow, busy, !view.sameZone);
    });
}

} // namespace bronzeshed
