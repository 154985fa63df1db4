#ifndef BRONZESHED_ENTRY_OWNINCARNATION_H
#define BRONZESHED_ENTRY_OWNINCARNATION_H

#include "base/random.h"
#include "membership/controlstate.h"

#include <atomic>
#include <vector>

namespace bronzeshed {

/** A number that is higher for a later start, made from a start time since 1970. */
Incarnation makeIncarnation(std::int64_t startMs, Random &random);

/** The start time since 1970 that an incarnation states. */
std::int64_t startOf(Incarnation incarnation);

/**
 * The incarnation of this entry. It is replaced by a higher one if a former process at this address
 * had a higher one, which happens when the wall clock was stepped back between the two starts.
 */
class OwnIncarnation
{
public:
    /** @param callers where callers connect; no other live process has this address */
    OwnIncarnation(Incarnation first, const Endpoint &callers);

    Incarnation value() const { return this->current; }

    /**
     * Whether the agent has published the incarnation. Before that a former process may have a
     * higher one, so no request may be taken under it. Thread-safe.
     */
    bool isPublished() const { return this->published.load(); }

    /**
     * Compares with the members that the agent sent, and removes the records of former processes at
     * this address from them.
     * @return whether a higher incarnation was chosen, which is to be reported to the agent
     */
    bool update(std::vector<Member> &members, Random &random);

private:
    Incarnation highestFormer(const std::vector<Member> &members) const;

    Incarnation current;
    Endpoint callers;
    bool everPublished = false;
    std::atomic<bool> published{false};
};

} // namespace bronzeshed

#endif
