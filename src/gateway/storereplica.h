#ifndef BRONZESHED_GATEWAY_STOREREPLICA_H
#define BRONZESHED_GATEWAY_STOREREPLICA_H

#include "base/clock.h"
#include "config/declaration.h"
#include "gateway/worktimerecord.h"
#include "membership/controlstate.h"
#include "platform/metadatastore.h"
#include "platform/registration.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>

namespace bronzeshed {

/** Prefix of the keys under which the entries of the fleet register. */
inline constexpr std::string_view MemberPrefix = "bronzeshed/entries/";

/** Decoded content of the store. */
struct FleetState
{
    ConfigVersion version;
    std::shared_ptr<const Declaration>
        declaration; ///< nullptr until a valid configuration was read
    std::vector<UpstreamInfo> upstreams;
    std::vector<Member> members;
    WorkTimes workTimes; ///< measured by the relays of all zones
};

/** The value of a member's key. */
std::string encodeMember(const Member &member);
/** @throws ProtocolError if @p value is not a member record */
Member decodeMember(std::string_view id, std::string_view value);

/** How the deletion of a key is treated. */
enum class DeletionKind {
    Final, ///< the owner deleted the key or has stopped
    /** The lease may have expired while the store was unavailable; the owner may write it again. */
    Expired,
};

/**
 * Replica of the items of the metadata store: the configuration, the registrations of the upstreams
 * and the entries of the fleet. A malformed item is ignored without effect on other items; a former
 * registration under its key is removed. An older configuration never replaces a newer one.
 */
class StoreReplica
{
public:
    /** Owners write expired keys again within about 2 s after the store recovers. */
    static constexpr std::chrono::milliseconds ExpiryGrace{2200};

    explicit StoreReplica(ZoneRegions regions);

    /**
     * Replaces all items by those of a range of all keys. The differences become part of the change
     * log: after the store has lost its history, the entries that watch this replica would
     * otherwise read all items from it at the same time.
     * @return whether anything changed
     */
    bool replaceAll(const StoreRange &range, DeletionKind missing, TimePoint now);
    /** Applies changes since revision(). @return whether anything changed */
    bool apply(const StoreChanges &changes, DeletionKind deletion, TimePoint now);
    /** Removes expired items whose grace period is over. @return whether there were any */
    bool dropExpired(TimePoint now);
    /** When the next grace period ends, or nothing if no item has expired. */
    std::optional<TimePoint> nextExpiry() const;

    StoreRevision revision() const { return this->asOf; }
    /** The item of the registration of an entry, or nullptr if it is not registered. */
    const StoreItem *memberItem(const InstanceId &id) const;
    /** The registered entries in the order of their ids. */
    const std::map<InstanceId, Member> &registeredMembers() const { return this->members; }
    FleetState state() const;
    /** All items; @p withExpired includes items within their grace period. */
    StoreRange snapshot(bool withExpired) const;
    /** The changes after @p after; historyLost is set if the change log no longer holds them. */
    StoreChanges changesSince(StoreRevision after) const;

private:
    bool put(const StoreItem &item);
    bool erase(const std::string &key, DeletionKind kind, TimePoint now);
    void decode(const StoreItem &item);
    void decodeConfiguration(const StoreItem &item);
    void dropItem(const std::string &key);
    void trimChangeLog();

    ZoneRegions regions;
    StoreRevision asOf;
    std::map<std::string, StoreItem> items;
    std::deque<StoreEvent> changeLog; ///< the newest changes, oldest first
    StoreRevision changeLogStart; ///< the change log holds all changes after this revision
    std::map<std::string, TimePoint> expired; ///< keys and the end of their grace period
    ConfigVersion version;
    std::shared_ptr<const Declaration> declaration;
    std::map<UpstreamId, UpstreamInfo> upstreams;
    std::map<InstanceId, Member> members;
    std::map<std::string, WorkTimes> workTimes; ///< by key
};

} // namespace bronzeshed

#endif
