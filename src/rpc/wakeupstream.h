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

    /** Clears the wakeup, even if a cancelled wait has already read it. */
    void clear() { this->wakeup.clear(); }

    /**
     * Returns a promise that is fulfilled when the wakeup is notified, and clears the wakeup.
     * Only one wait may be pending at a time.
     */
    kj::Promise<void> wait();

private:
    Wakeup &wakeup;
    kj::Own<kj::AsyncInputStream> stream;
    std::uint64_t count = 0;
};

} // namespace bronzeshed

#endif
