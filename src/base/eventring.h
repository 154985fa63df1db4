#ifndef BRONZESHED_BASE_EVENTRING_H
#define BRONZESHED_BASE_EVENTRING_H

#include "base/wakeup.h"

#include <boost/lockfree/spsc_queue.hpp>
#include <cstddef>
#include <memory>
#include <optional>
#include <utility>

namespace bronzeshed {

/**
 * Bounded queue from one producer thread to one consumer thread. Each successful push wakes the
 * consumer through the Wakeup passed to the constructor, which several rings may share.
 */
template<typename Event>
class EventRing
{
public:
    EventRing(std::size_t capacity, Wakeup &wakeup)
        : queue(capacity)
        , wakeup(wakeup)
    {
    }

    /**
     * Adds an event. The event is moved from on success and left unchanged on failure.
     * @return false if the ring is full
     */
    bool tryPush(Event &event)
    {
        auto owned = std::make_unique<Event>(std::move(event));
        if (!this->queue.push(owned.get())) {
            event = std::move(*owned);
            return false;
        }
        owned.release(); // NOLINT(bugprone-unused-return-value): the ring owns the event from here
                         // on
        this->wakeup.notify();
        return true;
    }

    /** Removes and returns the oldest event; nullopt if the ring is empty. */
    std::optional<Event> tryPop()
    {
        Event *raw = nullptr;
        if (!this->queue.pop(raw)) {
            return std::nullopt;
        }
        const std::unique_ptr<Event> owned(raw);
        return std::move(*owned);
    }

    ~EventRing()
    {
        while (this->tryPop()) { }
    }
    EventRing(const EventRing &) = delete;
    EventRing &operator=(const EventRing &) = delete;

private:
    boost::lockfree::spsc_queue<Event *> queue;
    Wakeup &wakeup;
};

/** Largest number of events that a thread processes from one ring before it polls the next. */
inline constexpr unsigned MaxEventBatch = 256;

/**
 * Removes up to MaxEventBatch events from a ring and passes each to @p handle.
 * @return false if the ring was empty
 */
template<typename Event, typename Handler>
bool takeEvents(EventRing<Event> &ring, Handler handle)
{
    for (unsigned i = 0; i < MaxEventBatch; ++i) {
        auto event = ring.tryPop();
        if (!event) {
            return i > 0;
        }
        handle(std::move(*event));
    }
    return true;
}

} // namespace bronzeshed

#endif
