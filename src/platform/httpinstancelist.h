#ifndef BRONZESHED_PLATFORM_HTTPINSTANCELIST_H
#define BRONZESHED_PLATFORM_HTTPINSTANCELIST_H

#include "base/settings.h"
#include "platform/instancelist.h"

#include <chrono>

namespace bronzeshed {

/** Fetches the platform's instance list over HTTP. */
class HttpInstanceList : public InstanceList
{
public:
    /** @param timeout limit of each fetch */
    HttpInstanceList(Endpoint endpoint, std::chrono::milliseconds timeout);

    std::optional<InstanceSnapshot> fetch(std::uint64_t lastRevision) override;

private:
    Endpoint endpoint;
    std::chrono::milliseconds timeout;
};

} // namespace bronzeshed

#endif
