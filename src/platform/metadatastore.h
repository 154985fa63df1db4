#ifndef BRONZESHED_PLATFORM_METADATASTORE_H
#define BRONZESHED_PLATFORM_METADATASTORE_H

#include "base/clock.h"
#include "base/strongnumber.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bronzeshed {

using StoreRevision = StrongNumber<struct StoreRevisionTag>;
using LeaseId = StrongNumber<struct LeaseIdTag>;

/** A key with its value and revision. */
struct StoreItem
{
    std::string key;
    std::string value;
    StoreRevision revision; ///< revision of the last change of this key
    LeaseId lease; ///< the key is deleted when this lease ends; 0 if there is none
};

/**
 * When the replica of another entry was last known to be complete, from the start of the call that
 * read it; negative if before. Nothing if the store itself answered.
 */
using ReplicaConfirmation = std::optional<std::chrono::milliseconds>;

/** All items with a common key prefix. */
struct StoreRange
{
    std::vector<StoreItem> items;
    StoreRevision asOf; ///< store revision from which a watch continues
    ReplicaConfirmation confirmation;
};

/** The write or deletion of a key. */
struct StoreEvent
{
    StoreItem item; ///< without a value if the key was deleted
    bool deleted = false;
    /** The deletion may be an expiry while the store was unavailable; the key may return. */
    bool mayReturn = false;
};

/** Changes since a revision. */
struct StoreChanges
{
    std::vector<StoreEvent> events;
    StoreRevision asOf; ///< revision up to which the events are complete
    bool historyLost = false; ///< the store no longer holds all changes; read the range again
    ReplicaConfirmation confirmation;
};

/** Required consistency of a read. */
enum class ReadMode {
    Linearizable,
    AllowStale, ///< may be seconds old; costs a tenth of a linearizable read
};

/**
 * Port to the platform's metadata store. Calls block.
 * All methods throw UnavailableError if the store does not respond or is busy, and ProtocolError if
 * the response is malformed.
 */
class MetadataStore
{
public:
    virtual ~MetadataStore() = default;

    /** Returns all items whose key begins with @p prefix. */
    virtual StoreRange range(const std::string &prefix, ReadMode mode) = 0;
    /**
     * Waits at most @p wait for changes after @p after.
     * @param mode AllowStale also accepts changes from a replica that is not current
     */
    virtual StoreChanges watch(const std::string &prefix, StoreRevision after,
                               std::chrono::milliseconds wait, ReadMode mode)
        = 0;
    /** Grants a lease that ends after @p timeToLive unless it is renewed. */
    virtual LeaseId grantLease(std::chrono::milliseconds timeToLive) = 0;
    /** @return false if the lease has ended */
    virtual bool renewLease(LeaseId lease) = 0;
    /** Ends a lease and deletes the keys bound to it. */
    virtual void endLease(LeaseId lease) = 0;
    /**
     * Writes a key that is deleted when the lease ends.
     * @return the revision of the write, or nothing if the lease has ended
     */
    virtual std::optional<StoreRevision> put(const std::string &key, const std::string &value,
                                             LeaseId lease)
        = 0;
    /**
     * Writes all of @p items, each bound to its lease, if @p condition still has its revision.
     * @param items at most MaxWrittenItems
     * @return false if the condition has changed or a lease has ended; nothing is written then
     */
    virtual bool putAll(const std::vector<StoreItem> &items, const StoreItem &condition) = 0;
    /**
     * Deletes all of @p items if each of them and @p condition, if given, still have their
     * revisions.
     * @param items at most MaxErasedItems
     * @return false if one of them has changed; nothing is deleted then
     */
    virtual bool erase(const std::vector<StoreItem> &items,
                       const std::optional<StoreItem> &condition)
        = 0;
    /** Returns if the store responds, at a tenth of the price of a linearizable read. */
    virtual void checkAvailability() = 0;

    /** A transaction takes 32 entries: conditions, writes and deletions. */
    static constexpr std::size_t MaxErasedItems = 15;
    static constexpr std::size_t MaxWrittenItems = 31;
};

} // namespace bronzeshed

#endif
