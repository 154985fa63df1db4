#ifndef BRONZESHED_ROUTING_QUEUEDATTEMPTS_H
#define BRONZESHED_ROUTING_QUEUEDATTEMPTS_H

#include "base/clock.h"
#include "base/strongnumber.h"

#include <map>
#include <optional>

namespace bronzeshed {

using QueuedAttemptId = StrongNumber<struct QueuedAttemptIdTag>;

/**
 * Attempts sent to one upstream while all of its slots were in use. Such an attempt waits at the
 * upstream until another one ends, and its service time starts then.
 */
class QueuedAttempts
{
public:
    /** Adds a waiting attempt. */
    QueuedAttemptId add();

    /** Handles the end of another attempt: the waiting attempt starts. */
    void slotFreed(TimePoint now);

    /** Removes an attempt. @return its start time, or nothing if it was still waiting */
    std::optional<TimePoint> remove(QueuedAttemptId id);

private:
    std::optional<QueuedAttemptId> waiting;
    std::map<QueuedAttemptId, TimePoint> started;
    QueuedAttemptId lastId;
};

} // namespace bronzeshed

#endif
