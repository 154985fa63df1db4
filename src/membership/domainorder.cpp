#include "membership/domainorder.h"

#include <algorithm>

namespace bronzeshed {

std::uint64_t stableHash(std::string_view text)
{
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char character : text) {
        hash = (hash ^ static_cast<unsigned char>(character)) * 0x100000001b3ULL;
    }
    // FNV-1a distributes the high bits of short texts unevenly, which would skew the order.
    // The final mix evens them out.
    hash = (hash ^ (hash >> 33U)) * 0xff51afd7ed558ccdULL;
    hash = (hash ^ (hash >> 33U)) * 0xc4ceb9fe1a85ec53ULL;
    return hash ^ (hash >> 33U);
}

std::vector<Member> rendezvousOrder(std::string_view key, std::vector<Member> members)
{
    const auto weight = [&](const Member &member) {
        return stableHash(std::string(key) + "|" + member.id.value());
    };
    std::sort(members.begin(), members.end(), [&](const Member &left, const Member &right) {
        const auto leftWeight = weight(left);
        const auto rightWeight = weight(right);
        return leftWeight != rightWeight ? leftWeight > rightWeight : left.id < right.id;
    });
    return members;
}

std::vector<Member> domainEntries(const ServiceName &service, const RegionName &region,
                                  const std::vector<Member> &members)
{
    std::vector<Member> local;
    std::vector<Member> remote;
    for (const Member &member : members) {
        // Suspect members still serve, since most suspicions are refuted within a second.
        if (member.state != MemberState::Alive && member.state != MemberState::Suspect) {
            continue;
        }
        (member.region == region ? local : remote).push_back(member);
    }
    const std::string key = service.value() + "|" + region.value();
    std::vector<Member> order = rendezvousOrder(key, std::move(local));
    const std::vector<Member> others = rendezvousOrder(key, std::move(remote));
    order.insert(order.end(), others.begin(), others.end());
    return order;
}

} // namespace bronzeshed
