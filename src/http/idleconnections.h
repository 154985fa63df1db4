#ifndef BRONZESHED_HTTP_IDLECONNECTIONS_H
#define BRONZESHED_HTTP_IDLECONNECTIONS_H

#include "http/connectionpool.h"
#include "http/pooledconnection.h"

#include <deque>
#include <map>
#include <memory>

namespace bronzeshed {

/** Idle connections of a pool, by endpoint. Used by the pool's thread only. */
class IdleConnections
{
public:
    explicit IdleConnections(const ConnectionPoolLimits &limits);

    /**
     * @param requestId id of the request that is to be sent, or empty
     * @return an open connection that @p use and the id allow, or nullptr if there is none
     */
    std::unique_ptr<PooledConnection> take(const Endpoint &endpoint, ConnectionUse use,
                                           const std::string &requestId);
    void put(const Endpoint &endpoint, std::unique_ptr<PooledConnection> connection);

    /** Closes the connections to an endpoint after two timeouts without a response in between. */
    void recordTimeout(const Endpoint &endpoint);
    void recordResponse(const Endpoint &endpoint) { this->timeouts.erase(endpoint); }

    /** Removes connections that the server closed or that exceeded the idle timeout. */
    void sweep();
    void close(const Endpoint &endpoint) { this->connections.erase(endpoint); }
    void closeAll() { this->connections.clear(); }

private:
    ConnectionPoolLimits limits;
    std::map<Endpoint, unsigned> timeouts; ///< number of timeouts since the last response
    std::map<Endpoint, std::deque<std::unique_ptr<PooledConnection>>> connections;
};

} // namespace bronzeshed

#endif
