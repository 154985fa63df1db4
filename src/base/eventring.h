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
 * Bounded ring from one producer thread to one consumer thread. Each successful push wakes the
 * consumer through the Wakeup given at construction, which several rings may share.
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
     * Adds an event, which is moved from on success and left untouched on failure.
     * @return false if the ring is full
     */
    bool tryPush(Event &event)
    {
        auto owned = std::make_unique<Event>(std::move(event));
        if (!this->queue.push(owned.get())) {
            event = std::move(*owned);
            return false;
        }
        owned.release(); // NOLINT(bugprone-unused-return-value): the ring owns it now
        this->wakeup.notify();
        return true;
    }

    /** Takes the oldest event, or nothing if the ring is empty. */
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

/** Events taken from one ring before the others of a thread are looked at. */
inline constexpr unsigned MaxEventBatch = 256;

/** Hands up to MaxEventBatch events of a ring to @p handle. @return whether there were any */
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
