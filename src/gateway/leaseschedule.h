#ifndef BRONZESHED_GATEWAY_LEASESCHEDULE_H
#define BRONZESHED_GATEWAY_LEASESCHEDULE_H

#include "base/clock.h"
#include "platform/metadatastore.h"

#include <map>
#include <set>
#include <vector>

namespace bronzeshed {

/**
 * Lifetime of the leases of registrations without a renewal: upper limit of the time for which
 * callers are directed to an entry that ended together with all others of its zone. Usually the
 * relay removes the registration much sooner, see MemberMonitor.
 */
inline constexpr std::chrono::milliseconds LeaseTime{15000};

/**
 * Tells the relay which leases of its zone are due for a renewal.
 *
 * Load pattern: hundreds of registered entries that change seldom. Their registrations share the
 * leases of the entries that wrote them, so that the number of renewals depends on the number of
 * zones and not on the number of entries.
 */
class LeaseSchedule
{
public:
    /** Two renewals may fail before the lease ends. */
    static constexpr std::chrono::milliseconds RenewPeriod{4500};

    /**
     * Returns the leases that are due, which count as renewed from now on. A lease that was not in
     * use before is due at once: its former renewer may have stopped.
     * @param inUse leases of the registrations of the zone
     */
    std::vector<LeaseId> takeDue(const std::set<LeaseId> &inUse, TimePoint now);

private:
    std::map<LeaseId, TimePoint> renewedAt;
};

} // namespace bronzeshed

#endif
