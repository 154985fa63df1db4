#ifndef BRONZESHED_AGENT_CONFIGKEEPERPORT_H
#define BRONZESHED_AGENT_CONFIGKEEPERPORT_H

#include "config/configrecord.h"
#include "membership/controlstate.h"

#include <vector>

namespace bronzeshed {

/** Port through which the configuration keeper accesses the state of its agent. Thread-safe. */
class ConfigKeeperPort
{
public:
    virtual ~ConfigKeeperPort() = default;
    /** Returns the newest record that the agent holds. */
    virtual ConfigRecord record() = 0;
    /** Adopts a record and sends it to peers, unless its version is not higher. */
    virtual void adoptRecord(const ConfigRecord &record) = 0;
    /** Merges newer drain flags and sends them to peers. */
    virtual void adoptDrainFlags(const DrainFlags &flags) = 0;
    virtual std::vector<Member> members() = 0;
    virtual std::vector<UpstreamInfo> upstreams() = 0;
    /** Returns whether this agent is the first live one in rendezvous order on ConfigKey. */
    virtual bool isFirstForConfig() = 0;
};

} // namespace bronzeshed

#endif
