#ifndef BRONZESHED_MEMBERSHIP_CONTROLPORTS_H
#define BRONZESHED_MEMBERSHIP_CONTROLPORTS_H

#include "membership/controlstate.h"

#include <memory>

namespace bronzeshed {

/** Status that an entry reports to its agent. */
struct EntryStatus
{
    Incarnation incarnation;
    Endpoint callerEndpoint;
    Endpoint ledgerEndpoint;
    bool leaving = false;
    ConfigVersion activeConfigVersion;
};

/** Port that provides the control state to the agent's server. Thread-safe. */
class ControlStateSource
{
public:
    virtual ~ControlStateSource() = default;
    /** Returns the latest state, with its age at the time of the call. */
    virtual ControlState currentState() = 0;
    /** Returns the sequence number of the latest state. */
    virtual std::uint64_t currentSequence() = 0;
    /** The entry sent its status. */
    virtual void entryReported(const EntryStatus &status) = 0;
    /** A connection on which an entry reports its status was opened. */
    virtual void entryLinkOpened() { }
    /** Such a connection was lost or closed. */
    virtual void entryLinkClosed() { }
};

/** Port that delivers the control state to an entry. Called on the link's thread. */
class ControlStateSink
{
public:
    virtual ~ControlStateSink() = default;
    /** The state changed. @p confirmedAt is when a peer or the store last confirmed it. */
    virtual void stateChanged(ControlState state, TimePoint confirmedAt) = 0;
    /** The state was confirmed again without a change. */
    virtual void stateConfirmed(TimePoint confirmedAt) = 0;
    /** Returns the current status to report to the agent. */
    virtual EntryStatus status() = 0;
};

} // namespace bronzeshed

#endif
