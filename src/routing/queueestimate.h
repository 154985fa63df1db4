#ifndef BRONZESHED_ROUTING_QUEUEESTIMATE_H
#define BRONZESHED_ROUTING_QUEUEESTIMATE_H

#include "config/declaration.h"
#include "requests/outcome.h"
#include "routing/callqueue.h"
#include "routing/servicetimeestimate.h"

namespace bronzeshed {

/** Estimates the waiting time in the queue of one service. */
class QueueEstimate
{
public:
    /**
     * @param slots number of attempts that the usable upstreams may run at the same time
     * @param waitingThere number of calls waiting at the upstreams, ahead of the queue
     */
    QueueEstimate(const CallQueue &queue, const ServiceTimeEstimate &times, std::size_t slots,
                  std::size_t waitingAtUpstreams);

    /** Returns why a new call cannot be answered in time, or Reason::None. */
    Reason refusal(const ClassTarget &target, Duration timeLeft, TimePoint now) const;

    /** Whether the wait is long enough to use upstreams of other regions. */
    bool isOverloaded() const;

private:
    Duration wait(std::size_t calls) const;

    const CallQueue &queue;
    const ServiceTimeEstimate &times;
    std::size_t slots;
    std::size_t waitingAtUpstreams;
};

} // namespace bronzeshed

#endif
