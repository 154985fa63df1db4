#ifndef BRONZESHED_ROUTING_CALLQUEUE_H
#define BRONZESHED_ROUTING_CALLQUEUE_H

#include "base/clock.h"
#include "base/strongid.h"
#include "base/strongnumber.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace bronzeshed {

/**
 * Queue of the waiting calls of one service, ordered by deadline. A class whose start count is
 * MaxLead or more behind that of the class with the earliest deadline is served first, so that a
 * class with short deadlines cannot starve the others.
 */
class CallQueue
{
public:
    /** Largest lead of one class over a waiting one, in starts; 2 ms of work for 40 slots. */
    static constexpr std::uint64_t MaxLead = 16;

    void push(const ClassName &className, TimePoint deadline, CallId id);
    void erase(const ClassName &className, TimePoint deadline, CallId id);

    /** Removes a call from the queue and counts its start for its class. */
    void start(const ClassName &className, TimePoint deadline, CallId id);

    /** Returns the call to start next, or nothing if the queue is empty. */
    std::optional<CallId> next() const;

    /**
     * Estimates how many calls start before a new call, including calls of other classes that
     * arrive in the meantime. The estimate assumes that the class gets its recent share of the
     * starts or an equal share, whichever is larger.
     */
    std::size_t callsAhead(const ClassName &className, TimePoint deadline) const;

    std::size_t size() const { return this->waiting; }
    bool isEmpty() const { return this->waiting == 0; }

private:
    using Key = std::pair<TimePoint, CallId>;
    struct ClassQueue
    {
        std::set<Key> calls;
        double share = 0; ///< smoothed share of the recent starts
        std::uint64_t starts
            = 0; ///< virtual count, raised to lastStart when the class starts to wait
    };

    static std::size_t earlierCalls(const ClassQueue &queue, TimePoint deadline);
    std::size_t otherCallsAhead(const ClassName &className, std::size_t ownAhead,
                                TimePoint deadline) const;

    std::map<ClassName, ClassQueue> classes;
    std::size_t waiting = 0;
    std::uint64_t lastStart = 0;
};

} // namespace bronzeshed

#endif
