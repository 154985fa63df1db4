#ifndef BRONZESHED_REPLAY_POOLTRANSPORT_H
#define BRONZESHED_REPLAY_POOLTRANSPORT_H

#include "replay/calltransport.h"

#include <condition_variable>
#include <deque>
#include <mutex>

namespace bronzeshed {

/** Sends requests over a connection pool and runs the callbacks on the replay's thread. */
class PoolTransport : public CallTransport
{
public:
    explicit PoolTransport(const ConnectionPoolLimits &limits);

    void send(const Endpoint &endpoint, const HttpRequest &request, ConnectionUse use,
              Duration timeout, Callback callback) override;

    /** Waits until a request completes or @p limit has passed, then runs the pending callbacks. */
    void runUntil(TimePoint limit);
    void stop() { this->pool.stop(); }

private:
    std::mutex mutex;
    std::condition_variable completionAdded;
    std::deque<std::function<void()>> completions;
    AttemptId lastAttempt;
    ConnectionPool pool; ///< declared last, because its thread uses the members above
};

} // namespace bronzeshed

#endif
