#ifndef BRONZESHED_AGENT_PENDINGNEWS_H
#define BRONZESHED_AGENT_PENDINGNEWS_H

#include "config/configrecord.h"
#include "membership/controlstate.h"

#include <map>

namespace bronzeshed {

/**
 * News that wait for the gossip thread. Holds the newest of each kind only, so it cannot grow
 * beyond the state itself.
 */
struct PendingNews
{
    bool record = false;
    DrainFlags leaveMarks;
    std::map<InstanceId, Member> members;

    bool isEmpty() const
    {
        return !this->record && this->leaveMarks.empty() && this->members.empty();
    }
};

} // namespace bronzeshed

#endif
