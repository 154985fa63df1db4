#ifndef BRONZESHED_MEMBERSHIP_CONTROLPORTS_H
#define BRONZESHED_MEMBERSHIP_CONTROLPORTS_H

#include "membership/controlstate.h"

#include <memory>

namespace bronzeshed {

/** What an entry tells its agent about itself. */
struct EntryStatus
{
    Incarnation incarnation;
    Endpoint callerEndpoint;
    Endpoint ledgerEndpoint;
    bool leaving = false;
    ConfigVersion configVersionInForce;
};

/** Port from which an agent's server takes the state. Thread-safe. */
class ControlStateSource
{
public:
    virtual ~ControlStateSource() = default;
    /** Newest state, with its age as of now. */
    virtual ControlState currentState() = 0;
    /** Sequence of the newest state. */
    virtual std::uint64_t currentSequence() = 0;
    virtual void entryReported(const EntryStatus &status) = 0;
    /** A connection on which an entry reported was opened. */
    virtual void entryLinkOpened() { }
    /** Such a connection broke or was closed. */
    virtual void entryLinkClosed() { }
};

/** Port through which an entry receives the state. Called on the link's thread. */
class ControlStateSink
{
public:
    virtual ~ControlStateSink() = default;
    /** The state changed. @p confirmedAt is when others last confirmed it. */
    virtual void stateChanged(ControlState state, TimePoint confirmedAt) = 0;
    /** The state is unchanged but was confirmed again. */
    virtual void stateConfirmed(TimePoint confirmedAt) = 0;
    /** What to report to the agent now. */
    virtual EntryStatus status() = 0;
};

} // namespace bronzeshed

#endif
