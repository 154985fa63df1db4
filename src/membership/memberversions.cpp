// The part of MembershipTable that compares tables and spreads the versions in force.

#include "membership/domainorder.h"
#include "membership/membershiptable.h"

#include <algorithm>

namespace bronzeshed {

namespace {

/**
 * Bits of a table's hash that stand for the versions. Two tables that differ only in versions and
 * have equal hashes by chance (1 in 16 million) learn the versions from their other peers; of the
 * members, 40 bits are left.
 */
constexpr unsigned VersionHashBits = 24;
constexpr std::uint64_t VersionHashMask = (std::uint64_t{1} << VersionHashBits) - 1;

std::string hashText(const Member &member)
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
            text += hashText(entry.member);
            text += '\n';
        }
    }
    return stableHash(text);
}

VersionReport MembershipTable::versionReport() const
{
    std::map<ConfigVersion, std::vector<std::uint64_t>> masks;
    std::size_t index = 0;
    for (const auto &[id, entry] : this->entries) {
        if (entry.member.state != MemberState::Dead) {
            std::vector<std::uint64_t> &mask = masks[entry.member.configVersion];
            mask.resize(std::max(mask.size(), index / MembersPerWord + 1));
            mask[index / MembersPerWord] |= std::uint64_t{1} << index % MembersPerWord;
            ++index;
        }
    }
    const std::size_t wordsPerVersion = (index + MembersPerWord - 1) / MembersPerWord;
    VersionReport report;
    report.membersHash = this->membersHash();
    for (auto &[version, mask] : masks) {
        mask.resize(wordsPerVersion);
        for (const std::uint64_t members : mask) {
            report.words.push_back({version, members});
        }
    }
    return report;
}

void MembershipTable::mergeVersions(const VersionReport &report)
{
    if (report.words.empty() || report.membersHash != this->membersHash()) {
        return;
    }
    std::vector<Member *> covered;
    for (auto &[id, entry] : this->entries) {
        if (entry.member.state != MemberState::Dead) {
            covered.push_back(&entry.member);
        }
    }
    const std::size_t wordsPerVersion = (covered.size() + MembersPerWord - 1) / MembersPerWord;
    for (std::size_t index = 0; index < covered.size(); ++index) {
        Member &member = *covered[index];
        // Only the own entry says what is in force there.
        if (this->isOwn(member.id)) {
            continue;
        }
        const std::uint64_t bit = std::uint64_t{1} << index % MembersPerWord;
        for (std::size_t word = index / MembersPerWord; word < report.words.size();
             word += wordsPerVersion) {
            if ((report.words[word].members & bit) != 0) {
                member.configVersion = std::max(member.configVersion, report.words[word].version);
            }
        }
    }
}

} // namespace bronzeshed
