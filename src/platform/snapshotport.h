#ifndef BRONZESHED_PLATFORM_SNAPSHOTPORT_H
#define BRONZESHED_PLATFORM_SNAPSHOTPORT_H

#include "base/clock.h"
#include "base/strongid.h"
#include "http/httpserver.h"
#include "platform/metadatastore.h"

#include <memory>
#include <mutex>
#include <vector>

namespace bronzeshed {

/** Provides the replica of the store's items that other entries may read. Thread-safe. */
class SnapshotSource
{
public:
    virtual ~SnapshotSource() = default;
    /**
     * Returns the items of the replica.
     * @param mode Linearizable leaves out the items that may have expired; AllowStale includes them
     */
    virtual StoreRange snapshot(ReadMode mode) = 0;
    /** Returns the changes after a revision; historyLost is set if they are no longer held. */
    virtual StoreChanges changesSince(StoreRevision after) = 0;
    /** Whether the replica is currently in sync with the store. */
    virtual bool isCurrent() = 0;
    /** When the replica was last known to be complete. */
    virtual TimePoint confirmedAt() = 0;
    /** Called for each watch of an entry that identifies itself. */
    virtual void contactFrom(const InstanceId &watcher) = 0;
    /**
     * Called if another entry asks this one to write its registration.
     * @param record value of the registration
     * @return false if this entry cannot do it
     */
    virtual bool registrationRequested(const InstanceId &id, const std::string &record) = 0;
};

/**
 * HTTP port that serves this entry's replica of the store to other entries. It uses the protocol of
 * the store, so other entries read the replica through the same client. Besides, it takes requests
 * to write the registration of another entry.
 */
class SnapshotPort : public HttpHandler
{
public:
    explicit SnapshotPort(SnapshotSource &source)
        : source(source)
    {
    }

    void handleRequest(HttpRequest request, std::shared_ptr<HttpExchange> exchange) override;

    /**
     * Completes all watches: with the changes, or with the news that there are none. Thread-safe.
     */
    void replicaConfirmed();
    /** Completes the watches whose wait has ended. Call a few times a second. Thread-safe. */
    void expireWatches(TimePoint now);

private:
    struct Watch
    {
        StoreRevision after;
        TimePoint arrival;
        TimePoint end;
        bool allowStale = false; ///< accepts a replica that is not in sync with the store
        std::shared_ptr<HttpExchange> exchange;
    };

    /** Responds with a part of the replica and states how old it is. */
    void respond(HttpExchange &exchange, std::string body, TimePoint arrival);
    void handleRange(const HttpRequest &request, HttpExchange &exchange);
    void handleWatch(const HttpRequest &request, std::shared_ptr<HttpExchange> exchange);
    void handleRegistration(const HttpRequest &request, HttpExchange &exchange);
    /** @return whether the watch was completed and can be removed */
    bool answer(const Watch &watch, bool respondWithoutChanges);

    /**
     * Encodes the changes after a revision. Most watches of a zone ask for the same changes at the
     * same time, so the last result is kept.
     */
    const std::string &encode(const StoreChanges &changes, StoreRevision after);

    SnapshotSource &source;
    std::mutex mutex;
    std::vector<Watch> watches;
    std::string encoded; ///< changes from encodedAfter to encodedAsOf
    StoreRevision encodedAfter;
    StoreRevision encodedAsOf;
};

/**
 * Asks the entry at @p peer to write the registration of another one. Blocks.
 * @return false if that entry cannot do it or does not answer within @p timeout
 */
bool requestRegistration(const Endpoint &peer, const InstanceId &id, const std::string &record,
                         std::chrono::milliseconds timeout);

} // namespace bronzeshed

#endif
