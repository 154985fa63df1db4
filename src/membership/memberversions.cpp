// Implements the part of MembershipTable that compares tables and distributes active versions.

#include "membership/domainorder.h"
#include "membership/membershiptable.h"

#include <algorithm>

namespace bronzeshed {

namespace {

/**
 * Number of bits of a table's hash that cover the versions. If the hashes of two tables that differ
 * only in versions collide (1 in 16 million), the versions arrive from other peers. The other 40
 * bits cover the members.
 */
constexpr unsigned VersionHashBits = 24;
constexpr std::uint64_t VersionHashMask = (std::uint64_t{1} << VersionHashBits) - 1;

std::string hashInput(const Member &member)
{
    std::string text = member.id.value();
    for (const std::string &part :
         {std::to_string(member.incarnation.value()), std::to_string(member.counter),
          std::string(memberStateName(member.state)), member.agentEndpoint.toString(),
          member.callerEndpoint.toString(), member.ledgerEndpoint.toString(), member.region.value(),
          member.zone.value()}) {
        text += '|';
        text += part;
    }
    return text;
}

} // namespace

bool hasSameMembers(std::uint64_t left, std::uint64_t right)
{
    return left >> VersionHashBits == right >> VersionHashBits;
}

std::uint64_t MembershipTable::hash() const
{
    std::string versions;
    for (const auto &[id, entry] : this->entries) {
        if (entry.member.state != MemberState::Dead) {
            versions
                += id.value() + '|' + std::to_string(entry.member.configVersion.value()) + '\n';
        }
    }
    return (this->membersHash() & ~VersionHashMask) | (stableHash(versions) & VersionHashMask);
}

std::uint64_t MembershipTable::membersHash() const
{
    std::string text;
    for (const auto &[id, entry] : this->entries) {
        if (entry.member.state != MemberState::Dead) {
            text += hashInput(entry.member);
            text += '\n';
        }
    }
    return stableHash(text);
}

VersionReport MembershipTable::versionReport() const
{
    std::map<ConfigVersion, std::vector<std::uint64_t>> bitsByVersion;
    std::size_t index = 0;
    for (const auto &[id, entry] : this->entries) {
        if (entry.member.state != MemberState::Dead) {
            std::vector<std::uint64_t> &bits = bitsByVersion[entry.member.configVersion];
            bits.resize(std::max(bits.size(), index / MembersPerMask + 1));
            bits[index / MembersPerMask] |= std::uint64_t{1} << index % MembersPerMask;
            ++index;
        }
    }
    const std::size_t masksPerVersion = (index + MembersPerMask - 1) / MembersPerMask;
    VersionReport report;
    report.membersHash = this->membersHash();
    for (auto &[version, bits] : bitsByVersion) {
        bits.resize(masksPerVersion);
        for (const std::uint64_t members : bits) {
            report.masks.push_back({version, members});
        }
    }
    return report;
}

void MembershipTable::mergeVersions(const VersionReport &report)
{
    if (report.masks.empty() || report.membersHash != this->membersHash()) {
        return;
    }
    std::vector<Member *> covered;
    for (auto &[id, entry] : this->entries) {
        if (entry.member.state != MemberState::Dead) {
            covered.push_back(&entry.member);
        }
    }
    const std::size_t masksPerVersion = (covered.size() + MembersPerMask - 1) / MembersPerMask;
    for (std::size_t index = 0; index < covered.size(); ++index) {
        Member &member = *covered[index];
        // The version of the own member comes only from the own entry.
        if (this->isOwn(member.id)) {
            continue;
        }
        const std::uint64_t bit = std::uint64_t{1} << index % MembersPerMask;
        for (std::size_t maskIndex = index / MembersPerMask; maskIndex < report.masks.size();
             maskIndex += masksPerVersion) {
            if ((report.masks[maskIndex].members & bit) != 0) {
                member.configVersion
                    = std::max(member.configVersion, report.masks[maskIndex].version);
            }
        }
    }
}

} // namespace bronzeshed
