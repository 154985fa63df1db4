#ifndef BRONZESHED_GATEWAY_REGISTRY_H
#define BRONZESHED_GATEWAY_REGISTRY_H

#include "base/clock.h"
#include "config/declaration.h"
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

/** What the store holds, decoded. */
struct FleetState
{
    ConfigVersion version;
    std::shared_ptr<const Declaration> declaration; ///< nullptr before the first one
    std::vector<UpstreamInfo> upstreams;
    std::vector<Member> members;
};

/** The value of a member's key. */
std::string encodeMember(const Member &member);
/** @throws ProtocolError if @p value is not a member record */
Member decodeMember(std::string_view id, std::string_view value);

/** Who said that a key is gone. */
enum class DeletionMeaning {
    Final, ///< the key was deleted on purpose or its owner is gone
    /** The key may have lapsed while the store was away; its owner has time to write it again. */
    Lapsed,
};

/**
 * Follows the items of the metadata store: the configuration, the registrations of the upstreams
 * and the entries of the fleet. A malformed item names nothing and harms no other. Never goes back
 * to an older configuration.
 */
class Registry
{
public:
    /** Owners of lapsed keys write them again within about 2 s of the store's return. */
    static constexpr std::chrono::milliseconds LapseGrace{2200};

    explicit Registry(ZoneRegions regions);

    /** Replaces all items by those of a range of all keys. @return whether anything changed */
    bool replaceAll(const StoreRange &range, DeletionMeaning missing, TimePoint now);
    /** Applies changes since revision(). @return whether anything changed */
    bool apply(const StoreChanges &changes, DeletionMeaning deletion, TimePoint now);
    /** Drops lapsed items whose grace is over. @return whether there were any */
    bool dropLapsed(TimePoint now);
    /** When dropLapsed() has something to do next. */
    std::optional<TimePoint> nextLapse() const;

    StoreRevision revision() const { return this->asOf; }
    bool hasMember(const InstanceId &id) const { return this->members.contains(id); }
    /** The registered entries in the order of their ids. */
    const std::map<InstanceId, Member> &listedMembers() const { return this->members; }
    FleetState state() const;
    /** All items, those that may only have lapsed included or not. */
    StoreRange snapshot(bool withLapsed) const;
    /** The changes after @p after; historyLost is set if they are no longer kept. */
    StoreChanges changesSince(StoreRevision after) const;

private:
    bool put(const StoreItem &item);
    bool erase(const std::string &key, DeletionMeaning meaning, TimePoint now);
    void decode(const StoreItem &item);
    void decodeConfiguration(const StoreItem &item);
    void forget(const std::string &key);

    ZoneRegions regions;
    StoreRevision asOf;
    std::map<std::string, StoreItem> items;
    std::deque<StoreEvent> log; ///< the newest changes, oldest first
    StoreRevision logStart; ///< the log holds all changes after this revision
    std::map<std::string, TimePoint> lapsed; ///< keys with the end of their grace
    ConfigVersion version;
    std::shared_ptr<const Declaration> declaration;
    std::map<UpstreamId, UpstreamInfo> upstreams;
    std::map<InstanceId, Member> members;
};

} // namespace bronzeshed

#endif
