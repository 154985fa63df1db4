#include "membership/storewatchers.h"

#include "membership/domainorder.h"
#include "membership/membershiptable.h"

#include <algorithm>

namespace bronzeshed {

namespace {

constexpr double ReadJitter = 0.1;
constexpr unsigned MaxDoublings = 10;

Duration scaled(Duration duration, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

} // namespace

bool holdsStoreWatch(std::string_view key, const InstanceId &self, const RegionName &region,
                     const std::vector<Member> &members)
{
    std::vector<Member> local;
    for (const Member &member : members) {
        if (isLive(member) && member.region == region) {
            local.push_back(member);
        }
    }
    if (local.empty()) {
        return true;
    }
    local = rendezvousOrder(key, std::move(local));
    local.resize(std::min(local.size(), WatchersPerRegion));
    return std::any_of(local.begin(), local.end(),
                       [&](const Member &member) { return member.id == self; });
}

Duration storeReadDelay(Random &random)
{
    return scaled(StoreReadPeriod, 1.0 - ReadJitter + 2 * ReadJitter * random.uniform());
}

Duration storeBackoff(unsigned failures, Random &random)
{
    const unsigned doublings = std::min(failures == 0 ? 0 : failures - 1, MaxDoublings);
    const Duration full
        = std::min<Duration>(InitialStoreBackoff * (1U << doublings), MaxStoreBackoff);
    return scaled(full, 1.0 - random.uniform() / 2);
}

} // namespace bronzeshed
