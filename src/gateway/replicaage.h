#ifndef BRONZESHED_GATEWAY_REPLICAAGE_H
#define BRONZESHED_GATEWAY_REPLICAAGE_H

#include "base/clock.h"

#include <atomic>
#include <cstdint>

namespace bronzeshed {

/**
 * Tells how long ago the replica of an entry was known to be complete, by a linearizable read or a
 * watch of the store. What a relay answers is as old as the replica of the relay. Answers to other
 * calls say nothing about the replica: a watch may be lost while the store answers everything else.
 * Thread-safe.
 */
class ReplicaAge
{
public:
    explicit ReplicaAge(TimePoint now)
        : lastConfirmation(now)
    {
    }

    /** The replica was complete at @p time. An earlier time than the last one changes nothing. */
    void confirm(TimePoint time)
    {
        TimePoint known = this->lastConfirmation.load();
        while (known < time && !this->lastConfirmation.compare_exchange_weak(known, time)) { }
    }
    TimePoint confirmedAt() const { return this->lastConfirmation.load(); }
    Duration at(TimePoint now) const { return now - this->lastConfirmation.load(); }
    std::int64_t millisecondsAt(TimePoint now) const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(this->at(now)).count();
    }

private:
    std::atomic<TimePoint> lastConfirmation;
};

} // namespace bronzeshed

#endif
