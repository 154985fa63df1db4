#include "routing/upstreamview.h"

#include <algorithm>

namespace bronzeshed {

unsigned UpstreamView::estimatedRequests() const
{
    if (!this->load) {
        return this->outstanding;
    }
    const int reported = static_cast<int>(this->load->running + this->load->waiting);
    const int estimate = std::max(0, reported + this->startedSinceReport);
    return std::max(this->outstanding, static_cast<unsigned>(estimate));
}

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
