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
 * The waiting calls of one service in deadline order. A class that has fallen behind by MaxLead
 * starts goes first, so that a class with short deadlines cannot starve the others.
 */
class CallQueue
{
public:
    /** Starts by which a waiting class may be behind another one; 2 ms of work of 40 slots. */
    static constexpr std::uint64_t MaxLead = 16;

    void push(const ClassName &className, TimePoint deadline, CallId id);
    void erase(const ClassName &className, TimePoint deadline, CallId id);

    /** Removes a call that starts and counts the start for its class. */
    void start(const ClassName &className, TimePoint deadline, CallId id);

    /** The call that is to start next. */
    std::optional<CallId> next() const;

    /**
     * Starts expected before that of a new call, the calls of other classes that will arrive
     * meanwhile included: a class counts on its recent share of the starts or on an equal share.
     */
    std::size_t callsAhead(const ClassName &className, TimePoint deadline) const;

    std::size_t size() const { return this->waiting; }
    bool isEmpty() const { return this->waiting == 0; }

private:
    using Key = std::pair<TimePoint, CallId>;
    struct ClassQueue
    {
        std::set<Key> calls;
        double share = 0; ///< of the recent starts
        std::uint64_t starts = 0; ///< virtual: raised to lastStart when the class begins to wait
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
