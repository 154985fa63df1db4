#include "entry/controlinbox.h"

#include <algorithm>

namespace bronzeshed {

ControlInbox::ControlInbox(EntryStatus initialStatus, Wakeup &wakeup, Wakeup &statusChanged)
    : wakeup(wakeup)
    , statusChanged(statusChanged)
    , reported(std::move(initialStatus))
{
}

void ControlInbox::stateChanged(ControlState state, TimePoint confirmedAt)
{
    {
        const std::lock_guard lock(this->mutex);
        this->newest = std::move(state);
        this->lastConfirmed = std::max(this->lastConfirmed, confirmedAt);
    }
    this->wakeup.notify();
}

void ControlInbox::stateConfirmed(TimePoint confirmedAt)
{
    const std::lock_guard lock(this->mutex);
    this->lastConfirmed = std::max(this->lastConfirmed, confirmedAt);
}

EntryStatus ControlInbox::status()
{
    const std::lock_guard lock(this->mutex);
    return this->reported;
}

std::optional<ControlState> ControlInbox::takeState()
{
    const std::lock_guard lock(this->mutex);
    return std::exchange(this->newest, std::nullopt);
}

TimePoint ControlInbox::confirmedAt()
{
    const std::lock_guard lock(this->mutex);
    return this->lastConfirmed;
}

void ControlInbox::setLeaving()
{
    {
        const std::lock_guard lock(this->mutex);
        this->reported.leaving = true;
    }
    this->statusChanged.notify();
}

void ControlInbox::setIncarnation(Incarnation incarnation)
{
    {
        const std::lock_guard lock(this->mutex);
        this->reported.incarnation = incarnation;
    }
    this->statusChanged.notify();
}

void ControlInbox::setActiveConfigVersion(ConfigVersion version)
{
    const std::lock_guard lock(this->mutex);
    this->reported.activeConfigVersion = version;
}

} // namespace bronzeshed
