#ifndef BRONZESHED_ENTRY_CONTROLINBOX_H
#define BRONZESHED_ENTRY_CONTROLINBOX_H

#include "base/wakeup.h"
#include "membership/controlports.h"

#include <mutex>
#include <optional>

namespace bronzeshed {

/**
 * Passes the control state from the control thread to the decision thread. Holds the newest state
 * only, so it cannot fill.
 */
class ControlInbox : public ControlStateSink
{
public:
    /**
     * @param wakeup notified when there is a new state
     * @param statusChanged notified when the status is to be reported at once
     */
    ControlInbox(EntryStatus initialStatus, Wakeup &wakeup, Wakeup &statusChanged);

    void stateChanged(ControlState state, TimePoint confirmedAt) override;
    void stateConfirmed(TimePoint confirmedAt) override;
    EntryStatus status() override;

    /** Takes the newest state if it was not taken before. */
    std::optional<ControlState> takeState();
    /** When the state was last confirmed. */
    TimePoint confirmedAt();
    void setLeaving();
    void setIncarnation(Incarnation incarnation);
    void setConfigVersionInForce(ConfigVersion version);

private:
    std::mutex mutex;
    Wakeup &wakeup;
    Wakeup &statusChanged;
    EntryStatus reported;
    std::optional<ControlState> newest;
    TimePoint lastConfirmed;
};

} // namespace bronzeshed

#endif
