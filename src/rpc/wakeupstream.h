#ifndef BRONZESHED_RPC_WAKEUPSTREAM_H
#define BRONZESHED_RPC_WAKEUPSTREAM_H

#include "base/wakeup.h"

#include <cstdint>
#include <kj/async-io.h>

namespace bronzeshed {

/** Waits for a Wakeup in a Cap'n Proto event loop. */
class WakeupStream
{
public:
    WakeupStream(kj::AsyncIoContext &io, Wakeup &wakeup);

    /** Clears the wakeup, also one that a cancelled wait has read already. */
    void clear() { this->wakeup.clear(); }

    /** Fulfilled once the wakeup is notified, which it then clears. One wait at a time. */
    kj::Promise<void> wait();

private:
    Wakeup &wakeup;
    kj::Own<kj::AsyncInputStream> stream;
    std::uint64_t count = 0;
};

} // namespace bronzeshed

#endif
