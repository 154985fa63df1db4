#ifndef BRONZESHED_PLATFORM_HTTPKEYVALUESTORE_H
#define BRONZESHED_PLATFORM_HTTPKEYVALUESTORE_H

#include "base/settings.h"
#include "platform/keyvaluestore.h"

#include <chrono>
#include <functional>

namespace bronzeshed {

/** Accesses the platform's key-value service over HTTP. */
class HttpKeyValueStore : public KeyValueStore
{
public:
    /**
     * @param timeout limit of each call except watches
     * @param watchCancelled optional; a waiting watch ends with UnavailableError once it returns
     * true
     */
    HttpKeyValueStore(Endpoint endpoint, std::chrono::milliseconds timeout,
                      std::function<bool()> watchCancelled = {});

    StoredValue get(const std::string &key) override;
    std::optional<StoredValue> watch(const std::string &key, std::uint64_t revision) override;
    SwapResult compareAndSwap(const std::string &key, std::uint64_t revision,
                              const std::string &value) override;

private:
    Endpoint endpoint;
    std::chrono::milliseconds timeout;
    std::function<bool()> watchCancelled;
};

} // namespace bronzeshed

#endif
