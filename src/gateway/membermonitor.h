#ifndef BRONZESHED_GATEWAY_MEMBERMONITOR_H
#define BRONZESHED_GATEWAY_MEMBERMONITOR_H

#include "base/clock.h"
#include "base/strongid.h"

#include <map>
#include <vector>

namespace bronzeshed {

/**
 * Finds registered entries of the own zone that have ended without removing their registration. The
 * relay knows the others by their watches. An entry that succeeds a failed relay finds that one in
 * the same way, since it watches nobody.
 *
 * Load pattern: processes are killed or lose power while hundreds of entries are registered. Short
 * leases would find them as well, but each renewal is a billed call to the store, so their number
 * grows with the fleet. Contacts within a zone cost nothing.
 */
class MemberMonitor
{
public:
    /** Records a contact of an entry that watches this one. */
    void contactFrom(const InstanceId &id, TimePoint now) { this->contacts[id] = now; }

    /**
     * Returns the entries without a contact for too long; empty unless this entry is the relay and
     * enough others treat it as such. An entry that fails to reach the relay would otherwise take
     * over and remove all others.
     * Call at least once per MaxCheckGap: after a longer gap this process was paused and cannot
     * tell, so the observation starts anew.
     * @param others the other registered entries of the zone
     */
    std::vector<InstanceId> silentMembers(const std::vector<InstanceId> &others, bool relaying,
                                          TimePoint now);

    /**
     * Returns the entries that have been silent for longer than a lease lasts, as of the last call
     * of silentMembers(). They are not removed if too few others treat this entry as the relay, but
     * their leases need not be renewed.
     */
    const std::vector<InstanceId> &longSilentMembers() const { return this->longSilent; }

    static constexpr std::chrono::milliseconds MaxCheckGap{1500};

private:
    std::vector<InstanceId> longSilent;
    std::map<InstanceId, TimePoint> contacts;
    std::map<InstanceId, TimePoint> observedSince; ///< registered entries, while this is the relay
    TimePoint lastCheck;
};

} // namespace bronzeshed

#endif
