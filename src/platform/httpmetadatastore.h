#ifndef BRONZESHED_PLATFORM_HTTPMETADATASTORE_H
#define BRONZESHED_PLATFORM_HTTPMETADATASTORE_H

#include "base/settings.h"
#include "http/httpmessage.h"
#include "platform/metadatastore.h"

#include <functional>

namespace bronzeshed {

/** The metadata store over HTTP. Also reads the copy that another entry serves. */
class HttpMetadataStore : public MetadataStore
{
public:
    /**
     * @param timeout limit of each call; a watch has its wait on top of it
     * @param cancelled if given, ends a waiting call when it becomes true
     */
    HttpMetadataStore(Endpoint endpoint, std::chrono::milliseconds timeout,
                      std::function<bool()> cancelled = {});

    StoreRange range(const std::string &prefix, ReadMode mode) override;
    StoreChanges watch(const std::string &prefix, StoreRevision after,
                       std::chrono::milliseconds wait, ReadMode mode) override;
    LeaseId grantLease(std::chrono::milliseconds timeToLive) override;
    bool renewLease(LeaseId lease) override;
    void endLease(LeaseId lease) override;
    bool put(const std::string &key, const std::string &value, LeaseId lease) override;

private:
    HttpResponse call(const std::string &method, const std::string &target, std::string body,
                      std::chrono::milliseconds wait = {});

    Endpoint endpoint;
    std::chrono::milliseconds timeout;
    std::function<bool()> cancelled;
};

} // namespace bronzeshed

#endif
