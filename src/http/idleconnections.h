#ifndef BRONZESHED_HTTP_IDLECONNECTIONS_H
#define BRONZESHED_HTTP_IDLECONNECTIONS_H

#include "http/connectionpool.h"
#include "http/pooledconnection.h"

#include <deque>
#include <map>
#include <memory>

namespace bronzeshed {

/** Connections of a pool that wait for their next exchange. Used by the pool's thread only. */
class IdleConnections
{
public:
    explicit IdleConnections(const ConnectionPoolLimits &limits);

    /** @return a connection that is still open, or nothing if there is none for this use */
    std::unique_ptr<PooledConnection> take(const Endpoint &endpoint, ConnectionUse use);
    void put(const Endpoint &endpoint, std::unique_ptr<PooledConnection> connection);

    /** Closes the connections to the endpoint if it timed out twice since its last answer. */
    void noteTimeout(const Endpoint &endpoint);
    void noteAnswer(const Endpoint &endpoint) { this->timeouts.erase(endpoint); }

    /** Closes the connections that the server closed or that were idle for too long. */
    void sweep();
    void close(const Endpoint &endpoint) { this->connections.erase(endpoint); }
    void closeAll() { this->connections.clear(); }

private:
    ConnectionPoolLimits limits;
    std::map<Endpoint, unsigned> timeouts; ///< since the last answer
    std::map<Endpoint, std::deque<std::unique_ptr<PooledConnection>>> connections;
};

} // namespace bronzeshed

#endif
