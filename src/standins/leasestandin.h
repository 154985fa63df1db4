#ifndef BRONZESHED_STANDINS_LEASESTANDIN_H
#define BRONZESHED_STANDINS_LEASESTANDIN_H

#include "base/clock.h"

#include <map>
#include <string>

namespace bronzeshed {

/** Leases as the platform's key-value service offers them. */
class LeaseStandin
{
public:
    /** Grants or renews a lease. @return whether @p holder holds it now */
    bool acquire(TimePoint now, const std::string &name, const std::string &holder, Duration ttl);
    /** Holder of a lease; empty if it is free or expired. */
    std::string holder(TimePoint now, const std::string &name) const;

private:
    struct Lease
    {
        std::string holder;
        TimePoint end;
    };

    std::map<std::string, Lease> leases;
};

} // namespace bronzeshed

#endif
