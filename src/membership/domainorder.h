#ifndef BRONZESHED_MEMBERSHIP_DOMAINORDER_H
#define BRONZESHED_MEMBERSHIP_DOMAINORDER_H

#include "membership/controlstate.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace bronzeshed {

/** 64-bit FNV-1a hash with a final mix; equal on all machines. */
std::uint64_t stableHash(std::string_view text);

/**
 * Orders members for a key by rendezvous hashing, the highest weight first. Removing a member
 * leaves the order of the others unchanged.
 */
std::vector<Member> rendezvousOrder(std::string_view key, std::vector<Member> members);

/**
 * Entries that serve a dispatch domain: live members of the region, the owner first. The other
 * regions' members follow, for callers that reach none of their own region.
 */
std::vector<Member> domainEntries(const ServiceName &service, const RegionName &region,
                                  const std::vector<Member> &members);

} // namespace bronzeshed

#endif
