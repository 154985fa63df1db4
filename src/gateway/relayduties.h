#ifndef BRONZESHED_GATEWAY_RELAYDUTIES_H
#define BRONZESHED_GATEWAY_RELAYDUTIES_H

#include "gateway/leaseschedule.h"
#include "gateway/membermonitor.h"
#include "gateway/registrationqueue.h"
#include "platform/httpmetadatastore.h"

#include <mutex>

namespace bronzeshed {

/** Provides the registrations of the other entries of the zone. Thread-safe. */
class ZoneRegistrations
{
public:
    virtual ~ZoneRegistrations() = default;
    /** Registrations by id, as in the replica of the store. */
    virtual std::map<InstanceId, StoreItem> otherRegistrations() = 0;
    /** Whether this entry is the relay of its zone and in touch with the store. */
    virtual bool isRelaying() = 0;
};

/**
 * What an entry does in the store for others: as the relay of its zone, it renews the leases of the
 * registrations and removes those of ended entries; as the relay or as one of the peers in the
 * settings, it writes registrations that others ask for. All changes are conditional on the
 * registration of this entry, so that an entry which was replaced changes nothing.
 */
class RelayDuties
{
public:
    RelayDuties(const Endpoint &store, ZoneRegistrations &zone);

    /** Records a contact of an entry that watches this one. Thread-safe. */
    void contactFrom(const InstanceId &id);
    /** Queues the registration of another entry. Thread-safe. */
    void requestRegistration(const InstanceId &id, const std::string &record);
    /** When queued registrations are to be written, or nothing if there are none. Thread-safe. */
    std::optional<TimePoint> registrationsDueAt();
    /**
     * Does what is due. Blocks for calls to the store if anything is.
     * @param own registration of this entry
     * @throws UnavailableError if the store does not answer
     */
    void perform(const StoreItem &own);

private:
    void renewLeases(const std::map<InstanceId, StoreItem> &others, LeaseId ownLease);
    /**
     * Moves the registrations of entries that are silent without being removed to a lease that this
     * entry does not renew. If they have ended, their registrations end with it. If another entry
     * is in contact with them, it renews that lease as well.
     */
    void releaseSilentMembers(const std::map<InstanceId, StoreItem> &others, const StoreItem &own);
    void removeSilentMembers(const std::map<InstanceId, StoreItem> &others, const StoreItem &own);
    void writeRegistrations(const StoreItem &own);

    HttpMetadataStore store;
    ZoneRegistrations &zone;
    std::mutex mutex; ///< guards monitor and queue
    MemberMonitor monitor;
    RegistrationQueue queue;
    LeaseSchedule leases; ///< used by the thread that calls perform() only, like all members below
    LeaseId unrenewedLease; ///< of silent entries; 0 if there is none
    TimePoint releasedAt; ///< when silent entries were last moved to that lease
};

} // namespace bronzeshed

#endif
