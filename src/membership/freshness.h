#ifndef BRONZESHED_MEMBERSHIP_FRESHNESS_H
#define BRONZESHED_MEMBERSHIP_FRESHNESS_H

#include "base/clock.h"

#include <optional>

namespace bronzeshed {

/**
 * When others last confirmed the control state. Not thread-safe.
 *
 * A contact counts from when the call was sent, not from when its answer was read: a process that
 * was frozen in between reads an old answer late.
 */
class Freshness
{
public:
    /** @param gap a longer time between two ticks means that this process was frozen */
    explicit Freshness(const Clock &clock, Duration gap = std::chrono::milliseconds(1500));

    /** A peer or the store answered a call sent at @p sentAt. */
    void contacted(TimePoint sentAt);

    /** The instance list answered a call sent at @p sentAt. Confirms the state of a lone agent. */
    void listAnswered(TimePoint sentAt);

    /** Whether the agent knows no other member and so confirms itself. */
    void setAlone(bool alone);

    /** Looks for a gap in the time. Call at least every second. */
    void tick();

    /** Time since the last confirmation; Duration::max() if there was none. */
    Duration age() const;

private:
    bool mayConfirmItself() const;

    const Clock &clock;
    Duration gap;
    TimePoint lastTick;
    std::optional<TimePoint> lastContact;
    std::optional<TimePoint> lastAnswer; ///< of a peer, the store or the instance list
    std::optional<TimePoint> frozenUntil;
    bool alone = false;
};

} // namespace bronzeshed

#endif
