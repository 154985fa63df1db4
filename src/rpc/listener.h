#ifndef BRONZESHED_RPC_LISTENER_H
#define BRONZESHED_RPC_LISTENER_H

#include "base/settings.h"

#include <functional>
#include <future>
#include <kj/async-io.h>
#include <thread>

namespace bronzeshed {

/**
 * Binds an RPC server's endpoint on its own thread and reports the port, or the error, to the
 * thread that waits for it.
 * @return null if the endpoint could not be bound
 */
kj::Own<kj::ConnectionReceiver> bindListener(kj::AsyncIoContext &io, const Endpoint &endpoint,
                                             std::promise<std::uint16_t> &ready);

/**
 * Starts @p thread with @p run, which is to call bindListener() first, and waits for the port.
 * @throws Error if the endpoint could not be bound; the thread has then ended
 */
std::uint16_t startServer(std::thread &thread,
                          const std::function<void(std::promise<std::uint16_t> &)> &run);

} // namespace bronzeshed

#endif
