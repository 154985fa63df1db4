#ifndef BRONZESHED_BASE_WAKEUP_H
#define BRONZESHED_BASE_WAKEUP_H

#include "base/clock.h"
#include "base/filedescriptor.h"

#include <atomic>
#include <cstdint>

namespace bronzeshed {

/**
 * Lets producer threads wake one consumer thread. notify() makes a system call only if the consumer
 * sleeps in wait() or watches the descriptor, so notifying a busy consumer needs no system call.
 * The consumer uses either wait(), or descriptor() and clear().
 */
class Wakeup
{
public:
    Wakeup();

    /** Wakes the consumer, or makes its next wait() return at once. Thread-safe. */
    void notify();

    /** Blocks until notified or until @p timeout has passed. */
    void wait(Duration timeout);

    /** Descriptor that becomes readable on notify(), for use in an event loop. */
    int descriptor() const { return this->event.get(); }

    /** Clears the notification once the descriptor has become readable. */
    void clear();

private:
    /** State of the consumer, or Notified from a notification until the consumer handles it. */
    enum State : std::uint32_t {
        Watched, ///< the consumer may be polling the descriptor
        Awake, ///< the consumer is running
        Sleeping, ///< the consumer is blocked in wait()
        Notified,
    };

    FileDescriptor event;
    std::atomic<std::uint32_t> state{Watched};
};

} // namespace bronzeshed

#endif
