#ifndef BRONZESHED_MEMBERSHIP_DOMAINORDER_H
#define BRONZESHED_MEMBERSHIP_DOMAINORDER_H

#include "membership/controlstate.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace bronzeshed {

/** 64-bit FNV-1a hash with a final mix. The result is the same on all instances. */
std::uint64_t stableHash(std::string_view text);

/**
 * Sorts members for a key by rendezvous hashing, highest weight first. Removing a member does not
 * change the order of the others.
 */
std::vector<Member> rendezvousOrder(std::string_view key, std::vector<Member> members);

/**
 * Returns the entries that serve a dispatch domain: the live members of the region, starting with
 * the owner, followed by the live members of other regions for callers that cannot reach their own
 * region.
 */
std::vector<Member> domainEntries(const ServiceName &service, const RegionName &region,
                                  const std::vector<Member> &members);

} // namespace bronzeshed

#endif
