#include "routing/queueaheadpolicy.h"

namespace bronzeshed {

UpstreamView *QueueAheadPolicy::chooseForQueueing(const std::vector<UpstreamView *> &candidates,
                                                  Random &random)
{
    std::vector<UpstreamView *> queueing;
    for (UpstreamView *view : candidates) {
        if (view->mayQueueCall()) {
            queueing.push_back(view);
        }
    }
    return chooseCheapest(queueing, random,
                          [](const UpstreamView &view) { return !view.sameZone; });
}

} // namespace bronzeshed
