#ifndef BRONZESHED_BASE_WAKEUP_H
#define BRONZESHED_BASE_WAKEUP_H

#include "base/clock.h"
#include "base/filedescriptor.h"

#include <atomic>
#include <cstdint>

namespace bronzeshed {

/**
 * Wakes one sleeping thread from others. A notification makes a system call only if the thread
 * sleeps in wait() or watches the descriptor, so a busy consumer costs its producers none. A
 * thread uses either wait(), or descriptor() and clear().
 */
class Wakeup
{
public:
    Wakeup();

    /** Wakes the waiting thread, or makes its next wait return at once. Thread-safe. */
    void notify();

    /** Sleeps until notified or until @p timeout has passed. */
    void wait(Duration timeout);

    /** Descriptor that becomes readable on notify(), for use in an event loop. */
    int descriptor() const { return this->event.get(); }

    /** Clears the notification after the descriptor became readable. */
    void clear();

private:
    /** What the consumer does, or that a notification came since it last did anything. */
    enum State : std::uint32_t {
        Watched, ///< it may watch the descriptor
        Awake,
        Sleeping, ///< in wait()
        Notified,
    };

    FileDescriptor event;
    std::atomic<std::uint32_t> state{Watched};
};

} // namespace bronzeshed

#endif
