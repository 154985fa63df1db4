#ifndef BRONZESHED_ENTRY_OWNINCARNATION_H
#define BRONZESHED_ENTRY_OWNINCARNATION_H

#include "base/random.h"
#include "membership/controlstate.h"

#include <atomic>
#include <vector>

namespace bronzeshed {

/** Returns a number that increases with the start time, in milliseconds since 1970. */
Incarnation makeIncarnation(std::int64_t startMs, Random &random);

/** Returns the start time in an incarnation, in milliseconds since 1970. */
std::int64_t incarnationStartMs(Incarnation incarnation);

/**
 * Holds the incarnation of this entry. It is replaced by a higher one if a former process at this
 * address had a higher one. This happens if the wall clock was set back between the two starts.
 */
class OwnIncarnation
{
public:
    /** @param callers address for callers; no other live process uses it */
    OwnIncarnation(Incarnation first, const Endpoint &callers);

    Incarnation value() const { return this->current; }

    /**
     * Whether the agent has published the incarnation. Until then, a former process may have a
     * higher one, so no request may be accepted with it. Thread-safe.
     */
    bool isPublished() const { return this->published.load(); }

    /**
     * Compares the incarnation with those of @p members, which the agent sent. Removes the records
     * of former processes at this address from @p members.
     * @return whether a higher incarnation was chosen, which must be reported to the agent
     */
    bool update(std::vector<Member> &members, Random &random);

private:
    Incarnation highestFormerIncarnation(const std::vector<Member> &members) const;

    Incarnation current;
    Endpoint callers;
    bool everPublished = false;
    std::atomic<bool> published{false};
};

} // namespace bronzeshed

#endif
