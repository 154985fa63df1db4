#ifndef BRONZESHED_AGENT_PENDINGUPDATES_H
#define BRONZESHED_AGENT_PENDINGUPDATES_H

#include "config/configrecord.h"
#include "membership/controlstate.h"

#include <map>

namespace bronzeshed {

/**
 * Updates that wait for the gossip thread. Only the newest update of each item is kept, so the size
 * is limited by that of the state.
 */
struct PendingUpdates
{
    bool record = false; ///< whether to send the newest configuration record
    DrainFlags drainFlags;
    std::map<InstanceId, Member> members;

    bool isEmpty() const
    {
        return !this->record && this->drainFlags.empty() && this->members.empty();
    }
};

} // namespace bronzeshed

#endif
