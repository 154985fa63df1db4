#ifndef BRONZESHED_GATEWAY_STOREWATCHER_H
#define BRONZESHED_GATEWAY_STOREWATCHER_H

#include "base/random.h"
#include "gateway/relayduties.h"
#include "gateway/replicaage.h"
#include "gateway/storehealth.h"
#include "gateway/storereplica.h"
#include "gateway/zonerole.h"
#include "platform/snapshotport.h"

#include <atomic>
#include <functional>
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
    /** The replica that other entries read has changed, or is known to be complete anew. */
    virtual void replicaConfirmed() = 0;
    /** The registration of this entry in the store, or nothing if it is missing there. */
    virtual void registrationRead(const std::optional<StoreItem> &registration) = 0;
    /** The role of this entry has changed, or the relay that it follows. */
    virtual void roleChanged(ZoneRole role, const std::optional<Endpoint> &relay) = 0;
    /** The store does not answer; whether it is back is to be checked on another thread. */
    virtual void storeUnreachable() = 0;
    /** Another entry has asked this one to write its registration. */
    virtual void registrationQueued() = 0;
};

/**
 * Keeps a replica of the store's items up to date on a separate thread. Each call to the store is
 * billed, so in each zone one entry, the relay, watches the store and the others watch the replica
 * of the relay. An entry without a working relay watches the store itself. While it cannot reach
 * the store, it queries other entries.
 */
class StoreWatcher : public SnapshotSource, private ZoneRegistrations
{
public:
    StoreWatcher(StoreWatcherOptions options, StoreHealth &health, ReplicaAge &age,
                 StoreWatcherEvents &events);
    ~StoreWatcher() override;

    StoreRange snapshot(ReadMode mode) override;
    StoreChanges changesSince(StoreRevision after) override;
    bool isCurrent() override;
    TimePoint confirmedAt() override { return this->age.confirmedAt(); }
    void contactFrom(const InstanceId &watcher) override;
    bool registrationRequested(const InstanceId &id, const std::string &record) override;
    RelayDuties &relayDuties() { return this->duties; }
    /** Starts the thread. */
    void start();
    void stop();

private:
    /** Time after a failure or a loss of history for which watches use a short wait. */
    static constexpr std::chrono::seconds DegradedTime{5};

    /** An entry that failed as the relay. */
    struct Avoidance
    {
        TimePoint until;
        unsigned failures = 0; ///< in a row
    };

    std::map<InstanceId, StoreItem> otherRegistrations() override;
    bool isRelaying() override { return this->isCurrent(); }

    void run();
    /** Follows the store without a relay. @return false if the store is unreachable */
    bool followStore();
    bool watchRelay();
    void avoidRelay(const InstanceId &relay, bool refused, TimePoint now);
    /** Calls watchStore() and handles failures. @return false if the store is unreachable */
    bool tryWatchStore();
    void watchStore();
    /**
     * Returns the relay of the zone: the first of its leading entries that is not avoided after a
     * failure. Returns nothing if that is this entry, or if all of them are avoided.
     */
    std::optional<Member> findRelay();
    /** Whether this entry is the first of its zone, or the next one since that has failed. */
    bool mayRelay();
    /** Whether the replica has the registration of this entry. */
    bool isRegistered();
    /**
     * Dates the replica by the answer to a call that started at @p start.
     * @param storeTime when the replica was complete if the store itself answered
     */
    void confirm(const ReplicaConfirmation &confirmation, TimePoint start, TimePoint storeTime);
    void readAll(HttpMetadataStore &source, std::string_view name, ReadMode mode);
    void watch(HttpMetadataStore &source, std::chrono::milliseconds maxWait);
    void queryPeers();
    void readPeerReplica(const Endpoint &peer);
    std::vector<Endpoint> peersInQueryOrder();
    DeletionKind deletionKind() const;
    void publish(bool changed);
    /** Publishes the items of a stale read that no other entry could confirm. */
    void publishUnconfirmed();
    void setRole(ZoneRole role, const std::optional<Endpoint> &relay = std::nullopt);
    /** Sets the role of an entry without a relay. */
    void setRoleWithoutRelay(bool storeReachable);
    void pause(Duration time);
    /** Pauses for @p time, or until the store is known to be reachable. */
    void pauseWhileUnreachable(Duration time);
    void pauseUntil(TimePoint end, const std::function<bool()> &ended);

    StoreWatcherOptions options;
    StoreHealth &health;
    ReplicaAge &age;
    StoreWatcherEvents &events;
    SeededRandom random;
    std::mutex mutex; ///< guards the replica
    StoreReplica replica;
    RelayDuties duties;
    bool synchronized = false; ///< the replica holds all items as of its revision
    TimePoint degradedUntil; ///< until this time, watches use a short wait
    std::atomic<ZoneRole> role{ZoneRole::Undecided};
    std::optional<Endpoint> relay; ///< of a follower
    std::map<InstanceId, Avoidance> avoidedRelays; ///< used by the thread only
    unsigned relayRefusals = 0; ///< in a row
    bool relaySilent = false; ///< the last relay that failed did not answer
    bool unconfirmed = false; ///< the replica comes from a stale read and is not published yet
    bool starting = true; ///< this entry may make stale reads
    TimePoint startedAt;
    unsigned consecutiveFailures = 0; ///< failed calls to the store in a row
    std::atomic<bool> stopping{false};
    std::thread thread;
};

} // namespace bronzeshed

#endif
