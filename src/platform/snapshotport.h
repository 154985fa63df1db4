#ifndef BRONZESHED_PLATFORM_SNAPSHOTPORT_H
#define BRONZESHED_PLATFORM_SNAPSHOTPORT_H

#include "base/clock.h"
#include "http/httpserver.h"
#include "platform/metadatastore.h"

#include <memory>
#include <mutex>
#include <vector>

namespace bronzeshed {

/** Holds the copy of the store's items that other entries may read. Thread-safe. */
class SnapshotSource
{
public:
    virtual ~SnapshotSource() = default;
    /** @param mode whether items that may only have lapsed are left out (Linearizable) or not */
    virtual StoreRange snapshot(ReadMode mode) = 0;
    /** Changes after a revision; historyLost is set if they are no longer known. */
    virtual StoreChanges changesSince(StoreRevision after) = 0;
    /** Whether the copy follows the store at the moment. */
    virtual bool isCurrent() = 0;
};

/**
 * Serves this entry's copy of the store's items to other entries, as the store itself would, so
 * that they read it through the same client.
 */
class SnapshotPort : public HttpHandler
{
public:
    explicit SnapshotPort(SnapshotSource &source)
        : source(source)
    {
    }

    void handleRequest(HttpRequest request, std::shared_ptr<HttpExchange> exchange) override;

    /** Answers the watches for which there are changes. Thread-safe. */
    void copyChanged();
    /** Answers the watches whose wait is over. Call a few times a second. Thread-safe. */
    void expireWatches(TimePoint now);

private:
    struct Watch
    {
        StoreRevision after;
        TimePoint end;
        bool stale = false; ///< takes a copy that does not follow the store
        std::shared_ptr<HttpExchange> exchange;
    };

    void handleRange(const HttpRequest &request, HttpExchange &exchange);
    void handleWatch(const HttpRequest &request, std::shared_ptr<HttpExchange> exchange);
    /** @return whether the watch was answered */
    bool answer(const Watch &watch, bool evenWithoutChanges);

    SnapshotSource &source;
    std::mutex mutex;
    std::vector<Watch> watches;
};

} // namespace bronzeshed

#endif
