#ifndef BRONZESHED_PLATFORM_HTTPMETADATASTORE_H
#define BRONZESHED_PLATFORM_HTTPMETADATASTORE_H

#include "base/settings.h"
#include "base/strongid.h"
#include "http/httpmessage.h"
#include "platform/metadatastore.h"

#include <functional>

namespace bronzeshed {

/**
 * Accesses the platform's metadata store over HTTP. The same client reads the replica of the store
 * that another entry serves through SnapshotPort.
 */
class HttpMetadataStore : public MetadataStore
{
public:
    /**
     * @param timeout limit of each call; the wait of a watch is added to it
     * @param cancelled optional; a waiting call ends with UnavailableError once it returns true
     */
    HttpMetadataStore(Endpoint endpoint, std::chrono::milliseconds timeout,
                      std::function<bool()> cancelled = {});

    StoreRange range(const std::string &prefix, ReadMode mode) override;
    StoreChanges watch(const std::string &prefix, StoreRevision after,
                       std::chrono::milliseconds wait, ReadMode mode) override;
    LeaseId grantLease(std::chrono::milliseconds timeToLive) override;
    bool renewLease(LeaseId lease) override;
    void endLease(LeaseId lease) override;
    std::optional<StoreRevision> put(const std::string &key, const std::string &value,
                                     LeaseId lease) override;
    bool putAll(const std::vector<StoreItem> &items, const StoreItem &condition) override;
    bool erase(const std::vector<StoreItem> &items,
               const std::optional<StoreItem> &condition) override;
    void checkAvailability() override;

    /** Names this entry in its watches, for a peer that records its contacts. */
    void identifyWatches(const InstanceId &id) { this->watcher = id; }

private:
    HttpResponse call(const std::string &method, const std::string &target, std::string body,
                      std::chrono::milliseconds wait = {});

    InstanceId watcher; ///< empty if watches are anonymous
    Endpoint endpoint;
    std::chrono::milliseconds timeout;
    std::function<bool()> cancelled;
};

} // namespace bronzeshed

#endif
