#ifndef BRONZESHED_RPC_LISTENER_H
#define BRONZESHED_RPC_LISTENER_H

#include "base/settings.h"

#include <functional>
#include <future>
#include <kj/async-io.h>
#include <thread>

namespace bronzeshed {

/**
 * Binds the endpoint of an RPC server on the server's thread. Passes the port or the error to the
 * waiting thread through @p ready.
 * @return null if the endpoint could not be bound
 */
kj::Own<kj::ConnectionReceiver> bindListener(kj::AsyncIoContext &io, const Endpoint &endpoint,
                                             std::promise<std::uint16_t> &ready);

/**
 * Starts @p thread with @p run, which must call bindListener() first, and waits for the port.
 * @throws Error if the endpoint could not be bound; the thread has ended by then
 */
std::uint16_t startServer(std::thread &thread,
                          const std::function<void(std::promise<std::uint16_t> &)> &run);

} // namespace bronzeshed

#endif
