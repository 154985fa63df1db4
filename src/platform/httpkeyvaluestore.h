#ifndef BRONZESHED_PLATFORM_HTTPKEYVALUESTORE_H
#define BRONZESHED_PLATFORM_HTTPKEYVALUESTORE_H

#include "base/settings.h"
#include "platform/keyvaluestore.h"

#include <chrono>

namespace bronzeshed {

/** The key-value service over HTTP. */
class HttpKeyValueStore : public KeyValueStore
{
public:
    HttpKeyValueStore(Endpoint endpoint, std::chrono::milliseconds timeout);

    StoredValue get(const std::string &key) override;
    std::optional<StoredValue> watch(const std::string &key, std::uint64_t revision) override;
    SwapResult compareAndSwap(const std::string &key, std::uint64_t revision,
                              const std::string &value) override;

private:
    Endpoint endpoint;
    std::chrono::milliseconds timeout;
};

} // namespace bronzeshed

#endif
