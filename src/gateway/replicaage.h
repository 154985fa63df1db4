#ifndef BRONZESHED_GATEWAY_REPLICAAGE_H
#define BRONZESHED_GATEWAY_REPLICAAGE_H

#include "base/clock.h"

#include <atomic>
#include <cstdint>

namespace bronzeshed {

/**
 * Tells how long ago the replica of an entry was known to be complete, by a linearizable read or a
 * watch of the store or of a relay. Answers to other calls say nothing about the replica: a watch
 * may be lost while the store answers everything else. Thread-safe.
 */
class ReplicaAge
{
public:
    explicit ReplicaAge(TimePoint now)
        : confirmedAt(now)
    {
    }

    void confirm(TimePoint now) { this->confirmedAt.store(now); }
    Duration at(TimePoint now) const { return now - this->confirmedAt.load(); }
    std::int64_t millisecondsAt(TimePoint now) const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(this->at(now)).count();
    }

private:
    std::atomic<TimePoint> confirmedAt;
};

} // namespace bronzeshed

#endif
