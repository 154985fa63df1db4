#include "replay/pooltransport.h"

#include <utility>

namespace bronzeshed {

PoolTransport::PoolTransport(const ConnectionPoolLimits &limits)
    : pool(limits)
{
}

void PoolTransport::send(const Endpoint &endpoint, const HttpRequest &request, ConnectionUse use,
                         Duration timeout, Callback callback)
{
    this->lastAttempt = this->lastAttempt.next();
    this->pool.send(this->lastAttempt, endpoint, request, use, timeout,
                    [this, callback = std::move(callback)](ExchangeResult result) {
                        {
                            const std::lock_guard lock(this->mutex);
                            this->completions.emplace_back(
                                [callback, result = std::move(result)] { callback(result); });
                        }
                        this->completionAdded.notify_one();
                    });
}

void PoolTransport::runUntil(TimePoint limit)
{
    std::deque<std::function<void()>> batch;
    {
        std::unique_lock lock(this->mutex);
        this->completionAdded.wait_until(lock, limit,
                                         [this] { return !this->completions.empty(); });
        batch.swap(this->completions);
    }
    for (const auto &completion : batch) {
        completion();
    }
}

} // namespace bronzeshed
