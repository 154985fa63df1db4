#ifndef BRONZESHED_ENTRY_CONTROLINBOX_H
#define BRONZESHED_ENTRY_CONTROLINBOX_H

#include "base/wakeup.h"
#include "membership/controlports.h"

#include <mutex>
#include <optional>

namespace bronzeshed {

/**
 * Passes the control state from the control thread to the decision thread. Holds only the newest
 * state, so its size is bounded.
 */
class ControlInbox : public ControlStateSink
{
public:
    /**
     * @param wakeup notified when there is a new state
     * @param statusChanged notified when a changed status must be reported immediately
     */
    ControlInbox(EntryStatus initialStatus, Wakeup &wakeup, Wakeup &statusChanged);

    void stateChanged(ControlState state, TimePoint confirmedAt) override;
    void stateConfirmed(TimePoint confirmedAt) override;
    EntryStatus status() override;

    /** Returns the newest state, or std::nullopt if it was taken before. */
    std::optional<ControlState> takeState();
    /** Returns the time at which the state was last confirmed. */
    TimePoint confirmedAt();
    void setLeaving();
    void setIncarnation(Incarnation incarnation);
    void setActiveConfigVersion(ConfigVersion version);

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
