#ifndef BRONZESHED_GATEWAY_REGISTRAR_H
#define BRONZESHED_GATEWAY_REGISTRAR_H

#include "base/random.h"
#include "gateway/relayduties.h"
#include "gateway/storehealth.h"
#include "gateway/storereplica.h"
#include "gateway/zonerole.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace bronzeshed {

/**
 * Keeps this entry registered in the store, on a separate thread. An entry with a relay leaves the
 * registration and the renewal of its lease to the relay. Without one, it asks the peers of the
 * settings, and registers itself if none of them answers. The results of the calls to the store
 * also update the store health.
 */
class Registrar
{
public:
    /** @param seeds peers that write the registrations while the fleet starts */
    Registrar(const Endpoint &store, Member self, std::vector<Endpoint> seeds, StoreHealth &health,
              RelayDuties &duties);
    ~Registrar();
    Registrar(const Registrar &) = delete;
    Registrar &operator=(const Registrar &) = delete;

    /**
     * Takes the registration of this entry as read from the store, or nothing if it is missing
     * there. That of a former process of this instance is taken over with its lease. Thread-safe.
     */
    void registrationRead(const std::optional<StoreItem> &registration);
    /** Sets the role in the zone and, for a follower, its relay. Thread-safe. */
    void setRole(ZoneRole role, const std::optional<Endpoint> &relay);
    /** The store does not answer other threads; checks soon whether it is back. Thread-safe. */
    void storeUnreachable();
    /** Another entry has asked for its registration to be written. Thread-safe. */
    void registrationRequested();
    /** Sets the work times that this entry publishes while it is the relay. Thread-safe. */
    void setWorkTimes(WorkTimes times);
    /** Stops the thread and removes the registration. */
    void deregister();

private:
    /** What the thread needs to know of the other threads' calls. */
    struct Situation
    {
        ZoneRole role = ZoneRole::Undecided;
        std::optional<Endpoint> relay;
        std::optional<StoreItem> own; ///< newest registration with the present record
        bool missing = true; ///< the store has no registration with the present record
    };

    void run();
    /** Waits for the first registrationRead() and setRole(), for a limited time. */
    void awaitSituation(std::unique_lock<std::mutex> &lock);
    /** Does what is due. @return whether the store was called */
    bool work(const Situation &present);
    /** Asks a peer to register this entry, or registers it. @return whether the store was called */
    bool registerEntry(const Situation &present);
    /** Peers that can register this entry; none if it must register itself. */
    std::vector<Endpoint> registrationPeers(const Situation &present);
    /** @param formerLease lease of a former registration, or 0 */
    void writeRegistration(LeaseId formerLease);
    std::chrono::milliseconds period(const Situation &present) const;
    void publishWorkTimes();
    void wakeAt(TimePoint time);

    Member self;
    std::string record; ///< value of the registration
    std::vector<Endpoint> seeds;
    StoreHealth &health;
    RelayDuties &duties;
    HttpMetadataStore store;
    SeededRandom random;
    std::mutex mutex; ///< guards all members up to workTimes
    std::condition_variable changed;
    bool stopping = false;
    bool registrationKnown = false; ///< registrationRead() was called
    Situation situation;
    TimePoint nextWake;
    WorkTimes workTimes;
    WorkTimes publishedWorkTimes; ///< used by the thread only, like all members below
    TimePoint workTimesPublishedAt;
    TimePoint requestedAt; ///< when this entry registered or asked another one to
    TimePoint renewedAt;
    unsigned failedRequests = 0; ///< rounds of requests to peers without a registration, in a row
    std::thread thread;
};

} // namespace bronzeshed

#endif
