#include "entry/ownincarnation.h"

#include <algorithm>

namespace bronzeshed {

Incarnation makeIncarnation(std::int64_t startMs, Random &random)
{
    return Incarnation((static_cast<std::uint64_t>(startMs) << IncarnationRandomBits)
                       | random.below(1U << IncarnationRandomBits));
}

std::int64_t incarnationStartMs(Incarnation incarnation)
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
    const bool listed = std::any_of(members.begin(), members.end(), [this](const Member &member) {
        return member.incarnation == this->current;
    });
    const Incarnation former = this->highestFormerIncarnation(members);
    const bool behind = !listed && former > this->current;
    if (behind) {
        // The start time is raised by a millisecond, since new random bits alone may be lower.
        this->current = makeIncarnation(incarnationStartMs(former) + 1, random);
    }
    this->everPublished = this->everPublished || listed;
    this->published.store(!behind && (listed || this->published.load()));
    std::erase_if(members, [this](const Member &member) {
        return member.callerEndpoint == this->callers && member.incarnation != this->current;
    });
    return behind;
}

/** Returns the highest incarnation of a possible former process of this entry. */
Incarnation OwnIncarnation::highestFormerIncarnation(const std::vector<Member> &members) const
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
    // The agent rejected the first report, so a former process of this instance had a higher
    // incarnation at another address.
    return any;
}

} // namespace bronzeshed
