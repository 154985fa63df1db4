#include "standins/leasestandin.h"

namespace bronzeshed {

bool LeaseStandin::acquire(TimePoint now, const std::string &name, const std::string &holder,
                           Duration ttl)
{
    const std::string current = this->holder(now, name);
    if (holder.empty() || (!current.empty() && current != holder)) {
        return false;
    }
    this->leases[name] = {holder, now + ttl};
    return true;
}

std::string LeaseStandin::holder(TimePoint now, const std::string &name) const
{
    const auto found = this->leases.find(name);
    return found != this->leases.end() && now < found->second.end ? found->second.holder : "";
}

} // namespace bronzeshed
