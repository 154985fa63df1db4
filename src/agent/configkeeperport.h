#ifndef BRONZESHED_AGENT_CONFIGKEEPERPORT_H
#define BRONZESHED_AGENT_CONFIGKEEPERPORT_H

#include "config/configrecord.h"
#include "membership/controlstate.h"

#include <vector>

namespace bronzeshed {

/** What the configuration keeper needs of its agent. Thread-safe. */
class ConfigKeeperPort
{
public:
    virtual ~ConfigKeeperPort() = default;
    /** The newest record that the agent knows. */
    virtual ConfigRecord record() = 0;
    /** Takes over a record unless its version is lower, and spreads it. */
    virtual void adoptRecord(const ConfigRecord &record) = 0;
    /** Takes over newer leave marks and spreads them. */
    virtual void mergeMarks(const DrainFlags &marks) = 0;
    virtual std::vector<Member> members() = 0;
    virtual std::vector<UpstreamInfo> upstreams() = 0;
    /** Whether this agent is the first live one in rendezvous order on the configuration key. */
    virtual bool isFirstForConfig() = 0;
};

} // namespace bronzeshed

#endif
