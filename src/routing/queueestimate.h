#ifndef BRONZESHED_ROUTING_QUEUEESTIMATE_H
#define BRONZESHED_ROUTING_QUEUEESTIMATE_H

#include "config/declaration.h"
#include "requests/outcome.h"
#include "routing/callqueue.h"
#include "routing/servicetimeestimate.h"

namespace bronzeshed {

/** Foretells the wait in the queue of one service. */
class QueueEstimate
{
public:
    /**
     * @param slots attempts that the usable upstreams may run at the same time
     * @param waitingThere calls that wait at the upstreams, ahead of the queue
     */
    QueueEstimate(const CallQueue &queue, const ServiceTimeEstimate &times, std::size_t slots,
                  std::size_t waitingThere);

    /** Why a new call cannot be answered in time, or Reason::None. */
    Reason refusal(const ClassTarget &target, Duration timeLeft, TimePoint now) const;

    /** Whether the wait is so long that upstreams of other regions are a help. */
    bool isOverloaded() const;

private:
    Duration wait(std::size_t calls) const;

    const CallQueue &queue;
    const ServiceTimeEstimate &times;
    std::size_t slots;
    std::size_t waitingThere;
};

} // namespace bronzeshed

#endif
