#ifndef BRONZESHED_MEMBERSHIP_FRESHNESS_H
#define BRONZESHED_MEMBERSHIP_FRESHNESS_H

#include "base/clock.h"

#include <optional>

namespace bronzeshed {

/**
 * Tracks when a peer or the store last confirmed the control state. Not thread-safe.
 *
 * A contact counts from the time the call was sent, not from the time its response was read, since
 * a process that was suspended in between reads an old response late.
 */
class Freshness
{
public:
    /** @param maxTickGap a longer time between two ticks means that the process was suspended */
    explicit Freshness(const Clock &clock, Duration maxTickGap = std::chrono::milliseconds(1500));

    /** A peer or the store responded to a call sent at @p sentAt. */
    void peerOrStoreAnswered(TimePoint sentAt);

    /** The instance list responded to a call sent at @p sentAt. Confirms the state of a sole
     * member. */
    void listAnswered(TimePoint sentAt);

    /** Sets whether there is no other member, so that the agent confirms its own state. */
    void setSoleMember(bool soleMember);

    /** Detects a suspension of the process. Call at least every second. */
    void tick();

    /** Returns the time since the last confirmation; Duration::max() if there was none. */
    Duration age() const;

private:
    bool canConfirmItself() const;

    const Clock &clock;
    Duration maxTickGap;
    TimePoint lastTick;
    std::optional<TimePoint> lastContact;
    std::optional<TimePoint> lastResponse; ///< response of a peer, the store or the instance list
    std::optional<TimePoint> suspendedUntil; ///< end of the last suspension of the process
    bool soleMember = false;
};

} // namespace bronzeshed

#endif
