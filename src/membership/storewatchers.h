#ifndef BRONZESHED_MEMBERSHIP_STOREWATCHERS_H
#define BRONZESHED_MEMBERSHIP_STOREWATCHERS_H

#include "base/random.h"
#include "membership/controlstate.h"

#include <string_view>
#include <vector>

namespace bronzeshed {

/** Number of agents per region that hold a store watch; the second one is a backup. */
constexpr std::size_t WatchersPerRegion = 2;
/** Interval at which an agent without a watch reads the store. */
constexpr std::chrono::seconds StoreReadPeriod{60};
/** Pause after the first failed store call. */
constexpr std::chrono::milliseconds InitialStoreBackoff{500};
/** Longest pause between failed store calls. */
constexpr std::chrono::seconds MaxStoreBackoff{30};

/**
 * Whether the agent of @p self holds a watch on @p key, which is the case if it is among the first
 * live members of its region in rendezvous order. An agent that is not a member yet holds a watch
 * only if its region has no live member.
 */
bool holdsStoreWatch(std::string_view key, const InstanceId &self, const RegionName &region,
                     const std::vector<Member> &members);

/** Returns the period with a jitter of 10%, so that agents do not read at the same time. */
Duration storeReadDelay(Random &random);

/**
 * Returns the pause after @p failures consecutive failed calls: an exponential backoff with a
 * limit, reduced by a random share of up to one half, so that the agents do not all call a
 * recovering store at the same time.
 */
Duration storeBackoff(unsigned failures, Random &random);

} // namespace bronzeshed

#endif
