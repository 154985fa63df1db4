#include "http/idleconnections.h"

#include <algorithm>

namespace bronzeshed {

namespace {

/** Consecutive timeouts after which the idle connections of an endpoint are closed as dead. */
constexpr unsigned MaxTimeouts = 2;

} // namespace

IdleConnections::IdleConnections(const ConnectionPoolLimits &limits)
    : limits(limits)
{
}

std::unique_ptr<PooledConnection> IdleConnections::take(const Endpoint &endpoint, ConnectionUse use,
                                                        const std::string &requestId)
{
    auto &queue = this->connections[endpoint];
    const TimePoint now = std::chrono::steady_clock::now();
    // The most recently used connection is the most likely to be alive.
    for (auto position = queue.end(); position != queue.begin();) {
        --position;
        PooledConnection &candidate = **position;
        const Duration age = now - candidate.lastUse;
        if (age > std::min<Duration>(this->limits.idleTimeout, candidate.serverIdleTimeout)
            || !candidate.isOpenAndIdle()) {
            position = queue.erase(position);
            continue;
        }
        if (use == ConnectionUse::RecentlyUsed && age > this->limits.recentUse) {
            return nullptr;
        }
        if (candidate.accepts(requestId)) {
            std::unique_ptr<PooledConnection> connection = std::move(*position);
            queue.erase(position);
            return connection;
        }
    }
    return nullptr;
}

void IdleConnections::put(const Endpoint &endpoint, std::unique_ptr<PooledConnection> connection)
{
    auto &queue = this->connections[endpoint];
    connection->lastUse = std::chrono::steady_clock::now();
    connection->setDeadline(TimePoint::max());
    queue.push_back(std::move(connection));
    if (queue.size() > this->limits.idlePerEndpoint) {
        queue.pop_front();
    }
}

void IdleConnections::recordTimeout(const Endpoint &endpoint)
{
    if (++this->timeouts[endpoint] >= MaxTimeouts) {
        this->connections.erase(endpoint);
    }
}

void IdleConnections::sweep()
{
    const TimePoint oldest = std::chrono::steady_clock::now() - this->limits.idleTimeout;
    for (auto &[endpoint, queue] : this->connections) {
        std::erase_if(queue, [&](const std::unique_ptr<PooledConnection> &connection) {
            return connection->lastUse < oldest || !connection->isOpenAndIdle();
        });
    }
    std::erase_if(this->connections, [](const auto &entry) { return entry.second.empty(); });
}

} // namespace bronzeshed
