#ifndef BRONZESHED_GATEWAY_STOREFOLLOWER_H
#define BRONZESHED_GATEWAY_STOREFOLLOWER_H

#include "base/random.h"
#include "gateway/registry.h"
#include "gateway/storehealth.h"
#include "platform/httpmetadatastore.h"
#include "platform/snapshotport.h"

#include <atomic>
#include <mutex>
#include <thread>

namespace bronzeshed {

/** Where and how a follower reads. */
struct FollowerOptions
{
    Endpoint store;
    InstanceId self;
    RegionName region; ///< of this entry; its peers are asked first
    ZoneName zone; ///< of this entry; one entry of each zone follows the store for all
    ZoneRegions regions;
    std::vector<Endpoint> seeds; ///< peers known from the settings
};

/** What a follower tells the program, on the follower's thread. */
class FollowerEvents
{
public:
    virtual ~FollowerEvents() = default;
    virtual void stateChanged(FleetState state) = 0;
    /** The copy that other entries read has changed. */
    virtual void copyChanged() = 0;
    /** The store has no registration of this entry. */
    virtual void registrationMissing() = 0;
    /** Whether the entries of the zone follow the store through this one. */
    virtual void relayingChanged(bool relaying) = 0;
};

/**
 * Keeps a copy of the store's items up to date on a thread of its own. Calls to the store are paid
 * for, so in each zone one entry, the relay, watches the store and the others watch its copy. An
 * entry without a working relay watches the store itself, and asks any other entry while it cannot
 * reach the store.
 */
class StoreFollower : public SnapshotSource
{
public:
    StoreFollower(FollowerOptions options, StoreHealth &health, FollowerEvents &events);
    ~StoreFollower() override;

    StoreRange snapshot(ReadMode mode) override;
    StoreChanges changesSince(StoreRevision after) override;
    bool isCurrent() override;
    /** Starts the thread. */
    void start();
    void stop();

private:
    void run();
    bool followRelay();
    /** @return false if the store cannot be reached */
    bool tryStore();
    void followStore();
    std::optional<Endpoint> findRelay();
    /** Whether no other entry is listed. */
    bool isFirstEntry();
    void readAll(HttpMetadataStore &source, std::string_view name, ReadMode mode);
    void watch(HttpMetadataStore &source, std::chrono::milliseconds longest);
    void askPeers();
    void readCopy(const Endpoint &peer);
    std::vector<Endpoint> peersInOrder();
    DeletionMeaning meaningOfDeletions() const;
    void publish(bool changed);
    void setRelaying(bool relaying);
    void pause(Duration time);

    FollowerOptions options;
    StoreHealth &health;
    FollowerEvents &events;
    SeededRandom random;
    std::mutex mutex; ///< guards registry
    Registry registry;
    bool synchronized = false; ///< the registry holds all items as of its revision
    TimePoint troubledUntil; ///< watches are short before this time
    std::atomic<bool> relaying{false};
    TimePoint relayAvoidedUntil;
    unsigned relayRefusals = 0; ///< in a row
    unsigned cutWatches = 0; ///< failed calls to the store in a row
    std::atomic<bool> stopping{false};
    std::thread thread;
};

} // namespace bronzeshed

#endif
