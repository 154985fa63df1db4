#ifndef BRONZESHED_AGENT_STOREREADER_H
#define BRONZESHED_AGENT_STOREREADER_H

#include "agent/agentstate.h"
#include "base/error.h"
#include "base/random.h"
#include "platform/keyvaluestore.h"
#include "rpc/controlcounters.h"

namespace bronzeshed {

/**
 * Learns the configuration record from the store: by a watch if this agent holds one, and by a read
 * about every minute. Also reads when no peer confirms the state. Steps belong to one thread.
 */
class StoreReader
{
public:
    /** @param cancelled whether a waiting watch is being ended on purpose */
    StoreReader(const Clock &clock, Random &random, KeyValueStore &store, AgentState &state,
                ControlCounters &counters, std::function<bool()> cancelled);

    /** One read, watch or neither. @return how long to wait before the next step */
    Duration step();

private:
    void read();
    void watch();
    Duration pauseAfter(const Error &error);
    void adopt(const StoredValue &stored, TimePoint sentAt);

    const Clock &clock;
    Random &random;
    KeyValueStore &store;
    AgentState &state;
    ControlCounters &counters;
    std::function<bool()> cancelled;
    TimePoint nextRead; ///< long past at the start, so that the first step reads
    std::uint64_t revision = 0;
    bool watching = false;
    unsigned failures = 0;
};

} // namespace bronzeshed

#endif
