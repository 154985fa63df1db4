#ifndef BRONZESHED_ROUTING_UPSTREAMHEALTH_H
#define BRONZESHED_ROUTING_UPSTREAMHEALTH_H

#include "base/clock.h"

#include <deque>

namespace bronzeshed {

/** Ejects an upstream by the ends of its attempts and readmits it by one trial call. */
class UpstreamHealth
{
public:
    enum class State {
        Usable,
        Ejected, ///< gets no call and no probe until its ejection time is over
        Probing, ///< a probe is in progress
        Trial, ///< the next call decides
    };

    State state() const { return this->current; }

    /** @return whether this readmitted the upstream */
    bool recordSuccess();
    /** @return whether this ejected the upstream, for ejectionTime() */
    bool recordFailure();

    /** How long the present ejection lasts before a probe or a trial call. */
    Duration ejectionTime() const { return this->backoff; }

    /** The ejection time is over and a probe was sent. */
    void beginProbe() { this->current = State::Probing; }
    /** The next call may decide. */
    void allowTrial() { this->current = State::Trial; }
    /** A probe failed: ejected for twice as long. */
    void prolongEjection();

private:
    bool mustEject() const;
    void eject();

    State current = State::Usable;
    std::deque<bool> failures; ///< of the newest ends
    unsigned consecutiveFailures = 0;
    unsigned successes = 0; ///< since the last ejection
    Duration backoff = Duration::zero();
};

} // namespace bronzeshed

#endif
