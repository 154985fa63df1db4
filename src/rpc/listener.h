#ifndef BRONZESHED_RPC_LISTENER_H
#define BRONZESHED_RPC_LISTENER_H

#include "base/settings.h"

#include <future>
#include <kj/async-io.h>

namespace bronzeshed {

/**
 * Binds an RPC server's endpoint on its own thread and reports the port, or the error, to the
 * thread that waits for it.
 * @return null if the endpoint could not be bound
 */
kj::Own<kj::ConnectionReceiver> bindListener(kj::AsyncIoContext &io, const Endpoint &endpoint,
                                             std::promise<std::uint16_t> &ready);

} // namespace bronzeshed

#endif
