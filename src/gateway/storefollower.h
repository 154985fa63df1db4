#ifndef BRONZESHED_GATEWAY_STOREFOLLOWER_H
#define BRONZESHED_GATEWAY_STOREFOLLOWER_H

#include "base/random.h"
#include "gateway/registry.h"
#include "gateway/storehealth.h"
#include "platform/httpmetadatastore.h"
#include "platform/publicports.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <thread>

namespace bronzeshed {

/** Where and how a follower reads. */
struct FollowerOptions
{
    Endpoint store;
    InstanceId self;
    RegionName region; ///< of this entry; its peers are asked first
    ZoneRegions regions;
    std::vector<Endpoint> seeds; ///< peers known from the settings
};

/**
 * Keeps a copy of the store's items up to date on a thread of its own: by a watch, or from other
 * entries while this one cannot reach the store.
 */
class StoreFollower : public SnapshotSource
{
public:
    using Sink = std::function<void(FleetState)>;

    /**
     * @param sink takes every new state, on the follower's thread
     * @param ownKeyMissing called when the store has no registration of this entry
     */
    StoreFollower(FollowerOptions options, StoreHealth &health, Sink sink,
                  std::function<void()> ownKeyMissing);
    ~StoreFollower() override;

    StoreRange snapshot() override;
    void stop();

private:
    void run();
    void follow();
    void readAll();
    void waitForChanges();
    void askPeers();
    std::vector<Endpoint> peersInOrder();
    DeletionMeaning meaningOfDeletions() const;
    void publish(bool changed);
    void pause(Duration time);
    bool isCancelled() const { return this->stopping.load() || !this->health.isReachable(); }

    FollowerOptions options;
    StoreHealth &health;
    Sink sink;
    std::function<void()> ownKeyMissing;
    HttpMetadataStore store;
    SeededRandom random;
    std::mutex mutex; ///< guards registry
    Registry registry;
    bool synchronized = false; ///< the registry holds the store's items as of its revision
    std::atomic<bool> stopping{false};
    std::thread thread;
};

} // namespace bronzeshed

#endif
