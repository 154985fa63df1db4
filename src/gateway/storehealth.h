#ifndef BRONZESHED_GATEWAY_STOREHEALTH_H
#define BRONZESHED_GATEWAY_STOREHEALTH_H

#include "base/clock.h"

#include <mutex>
#include <string>

namespace bronzeshed {

/** Whether this entry reaches the store, as its calls of all threads show. Thread-safe. */
class StoreHealth
{
public:
    /** A call got its answer. */
    void succeeded(TimePoint now);
    void failed(const std::string &error, TimePoint now);

    bool isReachable() const;
    /** Whether a call failed within @p span before @p now. */
    bool failedWithin(Duration span, TimePoint now) const;
    /** Whether the store is reachable and answered a call within @p span before @p now. */
    bool succeededWithin(Duration span, TimePoint now) const;

private:
    mutable std::mutex mutex;
    bool reachable = true;
    bool everFailed = false;
    TimePoint lastFailure;
    TimePoint lastSuccess;
};

} // namespace bronzeshed

#endif
