#include "entry/ownincarnation.h"

#include <algorithm>

namespace bronzeshed {

Incarnation makeIncarnation(std::int64_t startMs, Random &random)
{
    return Incarnation((static_cast<std::uint64_t>(startMs) << IncarnationRandomBits)
                       | random.below(1U << IncarnationRandomBits));
}

std::int64_t startOf(Incarnation incarnation)
{
    return static_cast<std::int64_t>(incarnation.value() >> IncarnationRandomBits);
}

OwnIncarnation::OwnIncarnation(Incarnation first, const Endpoint &callers)
    : current(first)
    , callers(callers)
{
}

bool OwnIncarnation::update(std::vector<Member> &members, Random &random)
{
    const bool shown = std::any_of(members.begin(), members.end(), [this](const Member &member) {
        return member.incarnation == this->current;
    });
    const Incarnation former = this->highestFormer(members);
    const bool behind = !shown && former > this->current;
    if (behind) {
        // The next millisecond: the random bits alone would not make a higher number for certain.
        this->current = makeIncarnation(startOf(former) + 1, random);
    }
    this->everPublished = this->everPublished || shown;
    this->published.store(!behind && (shown || this->published.load()));
    std::erase_if(members, [this](const Member &member) {
        return member.callerEndpoint == this->callers && member.incarnation != this->current;
    });
    return behind;
}

/** The highest incarnation that may hide the own one from other members. */
Incarnation OwnIncarnation::highestFormer(const std::vector<Member> &members) const
{
    Incarnation sameAddress;
    Incarnation any;
    for (const Member &member : members) {
        any = std::max(any, member.incarnation);
        if (member.callerEndpoint == this->callers) {
            sameAddress = std::max(sameAddress, member.incarnation);
        }
    }
    if (sameAddress > this->current || this->everPublished) {
        return sameAddress;
    }
    // The agent refused the first report, so its instance had a higher incarnation elsewhere.
    return any;
}

} // namespace bronzeshed
