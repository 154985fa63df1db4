#ifndef BRONZESHED_BASE_WAKEUP_H
#define BRONZESHED_BASE_WAKEUP_H

#include "base/clock.h"
#include "base/filedescriptor.h"

#include <atomic>

namespace bronzeshed {

/**
 * Wakes one sleeping thread from others. Notifications while the thread is busy are merged into
 * one, so a busy consumer costs its producers no system call.
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
    FileDescriptor event;
    std::atomic<bool> pending{false};
};

} // namespace bronzeshed

#endif
