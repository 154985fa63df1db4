#include "routing/upstreamview.h"

namespace bronzeshed {

std::size_t countSlots(const std::vector<UpstreamView *> &views)
{
    std::size_t slots = 0;
    for (const UpstreamView *view : views) {
        slots += view->slots;
    }
    return slots;
}

std::size_t countWaiting(const std::vector<UpstreamView *> &views)
{
    std::size_t waiting = 0;
    for (const UpstreamView *view : views) {
        waiting += view->outstanding > view->slots ? view->outstanding - view->slots : 0;
    }
    return waiting;
}

} // namespace bronzeshed
