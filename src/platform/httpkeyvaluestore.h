#ifndef BRONZESHED_PLATFORM_HTTPKEYVALUESTORE_H
#define BRONZESHED_PLATFORM_HTTPKEYVALUESTORE_H

#include "base/settings.h"
#include "platform/keyvaluestore.h"

#include <chrono>
#include <functional>

namespace bronzeshed {

/** The key-value service over HTTP. */
class HttpKeyValueStore : public KeyValueStore
{
public:
    /**
     * @param timeout limit of each call but a watch
     * @param watchCancelled if given, ends a waiting watch when it becomes true
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
