#ifndef BRONZESHED_PLATFORM_HTTPINSTANCELIST_H
#define BRONZESHED_PLATFORM_HTTPINSTANCELIST_H

#include "base/settings.h"
#include "platform/instancelist.h"

#include <chrono>

namespace bronzeshed {

/** The instance list over HTTP. */
class HttpInstanceList : public InstanceList
{
public:
    HttpInstanceList(Endpoint endpoint, std::chrono::milliseconds timeout);

    std::optional<InstanceSnapshot> fetch(std::uint64_t knownRevision) override;

private:
    Endpoint endpoint;
    std::chrono::milliseconds timeout;
};

} // namespace bronzeshed

#endif
