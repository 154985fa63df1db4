#ifndef BRONZESHED_PLATFORM_METADATASTORE_H
#define BRONZESHED_PLATFORM_METADATASTORE_H

#include "base/strongnumber.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace bronzeshed {

using StoreRevision = StrongNumber<struct StoreRevisionTag>;
using LeaseId = StrongNumber<struct LeaseIdTag>;

/** A key with its value. */
struct StoreItem
{
    std::string key;
    std::string value;
    StoreRevision revision; ///< of its last change
};

/** Items of one prefix. */
struct StoreRange
{
    std::vector<StoreItem> items;
    StoreRevision asOf; ///< revision of the store from which a watch goes on
};

/** A key was written or deleted. */
struct StoreEvent
{
    StoreItem item; ///< of a deleted key without value
    bool deleted = false;
};

/** What happened since a revision. */
struct StoreChanges
{
    std::vector<StoreEvent> events;
    StoreRevision asOf; ///< revision up to which the events are complete
    bool historyLost = false; ///< the store no longer has all changes; read the range anew
};

/** How current a read must be. */
enum class ReadMode {
    Linearizable,
    AllowStale, ///< may be seconds old; costs a tenth
};

/**
 * Port to the platform's metadata store. Calls block.
 * All of them throw UnavailableError if the store does not answer or is busy, and ProtocolError if
 * the answer is malformed.
 */
class MetadataStore
{
public:
    virtual ~MetadataStore() = default;

    /** All items whose key begins with @p prefix. */
    virtual StoreRange range(const std::string &prefix, ReadMode mode) = 0;
    /**
     * Waits at most @p wait for changes after @p after.
     * @param mode AllowStale takes the changes of a copy that does not follow the store
     */
    virtual StoreChanges watch(const std::string &prefix, StoreRevision after,
                               std::chrono::milliseconds wait, ReadMode mode)
        = 0;
    virtual LeaseId grantLease(std::chrono::milliseconds timeToLive) = 0;
    /** @return false if the lease has ended */
    virtual bool renewLease(LeaseId lease) = 0;
    /** Ends a lease and deletes its keys. */
    virtual void endLease(LeaseId lease) = 0;
    /** Writes a key that lasts as long as the lease. @return false if the lease has ended */
    virtual bool put(const std::string &key, const std::string &value, LeaseId lease) = 0;
};

} // namespace bronzeshed

#endif
