#ifndef BRONZESHED_MEMBERSHIP_STOREWATCHERS_H
#define BRONZESHED_MEMBERSHIP_STOREWATCHERS_H

#include "base/random.h"
#include "membership/controlstate.h"

#include <string_view>
#include <vector>

namespace bronzeshed {

/** Agents of one region that hold a store watch; the second one covers a loss of the first. */
constexpr std::size_t WatchersPerRegion = 2;
/** How often an agent without a watch reads the store. */
constexpr std::chrono::seconds StoreReadPeriod{60};
constexpr std::chrono::milliseconds StoreBackoffStart{500};
constexpr std::chrono::seconds StoreBackoffLimit{30};

/**
 * Whether the agent of @p self holds a watch on @p key: it is among the first live members of its
 * region in rendezvous order. An agent that is no member yet holds one only if its region has no
 * live member.
 */
bool holdsStoreWatch(std::string_view key, const InstanceId &self, const RegionName &region,
                     const std::vector<Member> &members);

/** Time to the next read: the period give or take 10%, so that agents do not read in step. */
Duration nextStoreRead(Random &random);

/**
 * Pause after @p failures failed calls in a row: doubles up to a limit, then a random half is cut
 * off, so that the fleet does not return to a recovering store all at once.
 */
Duration storeBackoff(unsigned failures, Random &random);

} // namespace bronzeshed

#endif
