#ifndef BRONZESHED_ROUTING_QUEUEDATTEMPTS_H
#define BRONZESHED_ROUTING_QUEUEDATTEMPTS_H

#include "base/clock.h"
#include "base/strongnumber.h"

#include <map>
#include <optional>

namespace bronzeshed {

using QueuedAttemptId = StrongNumber<struct QueuedAttemptIdTag>;

/**
 * The attempts that one upstream received above its slots. An attempt waits there until another
 * one ends; only the time after that is its service time.
 */
class QueuedAttempts
{
public:
    /** Adds the attempt that waits now. */
    QueuedAttemptId add();

    /** Another attempt ended, so that the waiting one starts. */
    void slotFreed(TimePoint now);

    /** Removes an attempt. @return when it started, or nothing if it still waited */
    std::optional<TimePoint> remove(QueuedAttemptId id);

private:
    std::optional<QueuedAttemptId> waiting;
    std::map<QueuedAttemptId, TimePoint> started;
    QueuedAttemptId lastId;
};

} // namespace bronzeshed

#endif
