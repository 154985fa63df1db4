#include "gateway/leaseschedule.h"

namespace bronzeshed {

std::vector<LeaseId> LeaseSchedule::takeDue(const std::set<LeaseId> &inUse, TimePoint now)
{
    std::erase_if(this->renewedAt, [&](const auto &entry) { return !inUse.contains(entry.first); });
    std::vector<LeaseId> due;
    for (const LeaseId lease : inUse) {
        const auto known = this->renewedAt.find(lease);
        if (known == this->renewedAt.end() || now - known->second >= RenewPeriod) {
            due.push_back(lease);
            this->renewedAt[lease] = now;
        }
    }
    return due;
}

} // namespace bronzeshed
