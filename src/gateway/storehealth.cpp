#include "gateway/storehealth.h"

#include "base/logline.h"

namespace bronzeshed {

void StoreHealth::recordSuccess(TimePoint now)
{
    const std::lock_guard lock(this->mutex);
    this->lastSuccess = now;
    if (this->reachable) {
        return;
    }
    this->reachable = true;
    const Duration sinceLastFailure = now - this->lastFailure;
    LogLine("store_reachable")
        .add("since_last_failure_ms",
             std::chrono::duration_cast<std::chrono::milliseconds>(sinceLastFailure).count());
}

void StoreHealth::recordFailure(const std::string &error, TimePoint now)
{
    const std::lock_guard lock(this->mutex);
    if (this->reachable) {
        LogLine("store_unreachable", LogLevel::Warning).add("error", error);
    }
    this->reachable = false;
    this->everFailed = true;
    this->lastFailure = now;
}

void StoreHealth::recordDoubt(const std::string &reason)
{
    const std::lock_guard lock(this->mutex);
    if (this->reachable) {
        LogLine("store_doubted", LogLevel::Warning).add("reason", reason);
    }
    this->reachable = false;
}

bool StoreHealth::isReachable() const
{
    const std::lock_guard lock(this->mutex);
    return this->reachable;
}

bool StoreHealth::failedWithin(Duration span, TimePoint now) const
{
    const std::lock_guard lock(this->mutex);
    return this->everFailed && now - this->lastFailure <= span;
}

bool StoreHealth::succeededWithin(Duration span, TimePoint now) const
{
    const std::lock_guard lock(this->mutex);
    return this->reachable && now - this->lastSuccess <= span;
}

} // namespace bronzeshed
