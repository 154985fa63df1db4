#ifndef BRONZESHED_HTTP_SERVERSTATE_H
#define BRONZESHED_HTTP_SERVERSTATE_H

#include "http/httpserver.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <set>

namespace bronzeshed {

class ServerSession;

/** State shared by a server and its sessions, which keep it alive. For adapter sources only. */
struct ServerState
{
    ServerState(const HttpLimits &limits, HttpHandler &handler)
        : limits(limits)
        , handler(handler)
    {
    }

    HttpLimits limits;
    HttpHandler &handler;
    boost::asio::io_context context;
    std::set<ServerSession *> sessions;
    std::uint64_t lastConnection = 0;
    std::atomic<std::size_t> connections{0};
    std::atomic<std::size_t> pending{0};
    std::atomic<bool> draining{false};
};

} // namespace bronzeshed

#endif
