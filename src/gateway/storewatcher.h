#ifndef BRONZESHED_GATEWAY_STOREWATCHER_H
#define BRONZESHED_GATEWAY_STOREWATCHER_H

#include "base/random.h"
#include "gateway/storehealth.h"
#include "gateway/storereplica.h"
#include "platform/httpmetadatastore.h"
#include "platform/snapshotport.h"

#include <atomic>
#include <mutex>
#include <thread>

namespace bronzeshed {

/** Store, peers and location of a store watcher. */
struct StoreWatcherOptions
{
    Endpoint store;
    InstanceId self;
    RegionName region; ///< of this entry; peers in this region are queried first
    ZoneName zone; ///< of this entry; one entry per zone watches the store for the others
    ZoneRegions regions;
    std::vector<Endpoint> seeds; ///< peers from the settings, queried if no entry is registered
};

/** Receives the events of a store watcher, on the thread of the watcher. */
class StoreWatcherEvents
{
public:
    virtual ~StoreWatcherEvents() = default;
    virtual void stateChanged(FleetState state) = 0;
    /** The replica that other entries read has changed. */
    virtual void replicaChanged() = 0;
    /** The store has no registration of this entry. */
    virtual void registrationMissing() = 0;
    /** This entry has become or is no longer the relay of its zone. */
    virtual void relayingChanged(bool relaying) = 0;
};

/**
 * Keeps a replica of the store's items up to date on a separate thread. Each call to the store is
 * billed, so in each zone one entry, the relay, watches the store and the others watch the replica
 * of the relay. An entry without a working relay watches the store itself. While it cannot reach
 * the store, it queries other entries.
 */
class StoreWatcher : public SnapshotSource
{
public:
    StoreWatcher(StoreWatcherOptions options, StoreHealth &health, StoreWatcherEvents &events);
    ~StoreWatcher() override;

    StoreRange snapshot(ReadMode mode) override;
    StoreChanges changesSince(StoreRevision after) override;
    bool isCurrent() override;
    /** Starts the thread. */
    void start();
    void stop();

private:
    void run();
    bool watchRelay();
    /** Calls watchStore() and handles failures. @return false if the store is unreachable */
    bool tryWatchStore();
    void watchStore();
    std::optional<Endpoint> findRelay();
    /** Whether no other entry is registered. */
    bool isOnlyEntry();
    void readAll(HttpMetadataStore &source, std::string_view name, ReadMode mode);
    void watch(HttpMetadataStore &source, std::chrono::milliseconds maxWait);
    void queryPeers();
    void readPeerReplica(const Endpoint &peer);
    std::vector<Endpoint> peersInQueryOrder();
    DeletionKind deletionKind() const;
    void publish(bool changed);
    void setRelaying(bool relaying);
    void pause(Duration time);

    StoreWatcherOptions options;
    StoreHealth &health;
    StoreWatcherEvents &events;
    SeededRandom random;
    std::mutex mutex; ///< guards replica
    StoreReplica replica;
    bool synchronized = false; ///< the replica holds all items as of its revision
    TimePoint degradedUntil; ///< until this time, watches use a short wait
    std::atomic<bool> relaying{false};
    TimePoint relayAvoidedUntil;
    unsigned relayRefusals = 0; ///< in a row
    unsigned consecutiveFailures = 0; ///< failed calls to the store in a row
    std::atomic<bool> stopping{false};
    std::thread thread;
};

} // namespace bronzeshed

#endif
