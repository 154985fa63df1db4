#ifndef BRONZESHED_ROUTING_UPSTREAMHEALTH_H
#define BRONZESHED_ROUTING_UPSTREAMHEALTH_H

#include "base/clock.h"

#include <deque>

namespace bronzeshed {

/** Ejects an upstream after failed attempts and readmits it after a successful trial call. */
class UpstreamHealth
{
public:
    enum class State {
        Usable,
        Ejected, ///< gets no calls or probes until the ejection time has passed
        Probing, ///< a probe is in progress
        Trial, ///< the next call decides on readmission
    };

    State state() const { return this->current; }

    /** @return whether the success readmitted the upstream */
    bool recordSuccess();
    /** @return whether the failure ejected the upstream, for ejectionTime() */
    bool recordFailure();

    /** Duration of the current ejection before a probe or a trial call. */
    Duration ejectionTime() const { return this->backoff; }

    /** Records that a probe was sent after the ejection time. */
    void beginProbe() { this->current = State::Probing; }
    /** Allows one trial call, which decides on readmission. */
    void allowTrial() { this->current = State::Trial; }
    /** Doubles the ejection time after a failed probe. */
    void prolongEjection();

private:
    bool exceedsFailureLimit() const;
    void eject();

    State current = State::Usable;
    std::deque<bool> failures; ///< results of the newest attempts, true for a failure
    unsigned consecutiveFailures = 0;
    unsigned successes = 0; ///< since the last ejection
    Duration backoff = Duration::zero();
};

} // namespace bronzeshed

#endif
