#ifndef BRONZESHED_REPLAY_POOLTRANSPORT_H
#define BRONZESHED_REPLAY_POOLTRANSPORT_H

#include "replay/calltransport.h"

#include <condition_variable>
#include <deque>
#include <mutex>

namespace bronzeshed {

/** Sends calls over a connection pool and hands their ends to the replay's thread. */
class PoolTransport : public CallTransport
{
public:
    explicit PoolTransport(const ConnectionPoolLimits &limits);

    void send(const Endpoint &endpoint, const HttpRequest &request, ConnectionUse use,
              Duration timeout, Callback callback) override;

    /** Waits for the end of a call, at most until @p limit, and runs the callbacks that are due. */
    void runUntil(TimePoint limit);
    void stop() { this->pool.stop(); }

private:
    std::mutex mutex;
    std::condition_variable arrived;
    std::deque<std::function<void()>> ends;
    AttemptId lastAttempt;
    ConnectionPool pool; ///< last, since its thread uses the members above
};

} // namespace bronzeshed

#endif
