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

std::unique_ptr<PooledConnection> IdleConnections::take(const Endpoint &endpoint, ConnectionUse use)
{
    auto &queue = this->connections[endpoint];
    const TimePoint now = std::chrono::steady_clock::now();
    while (!queue.empty()) {
        // The most recently used connection is the most likely to be alive.
        std::unique_ptr<PooledConnection> connection = std::move(queue.back());
        queue.pop_back();
        const Duration age = now - connection->lastUse;
        if (age > std::min<Duration>(this->limits.idleTimeout, connection->serverIdleTimeout)
            || !connection->isOpenAndIdle()) {
            continue;
        }
        if (use == ConnectionUse::RecentlyUsed && age > this->limits.recentUse) {
            queue.push_back(std::move(connection));
            return nullptr;
        }
        return connection;
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
