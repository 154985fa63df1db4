#ifndef BRONZESHED_AGENT_STOREREADER_H
#define BRONZESHED_AGENT_STOREREADER_H

#include "agent/agentstate.h"
#include "base/error.h"
#include "base/random.h"
#include "platform/keyvaluestore.h"
#include "rpc/controlcounters.h"

namespace bronzeshed {

/**
 * Reads the configuration record from the store: through a watch if this agent holds one, by a
 * read about every minute, and when no peer confirms the state. Not thread-safe.
 */
class StoreReader
{
public:
    /** @param cancelled returns whether a waiting watch is being cancelled by this agent */
    StoreReader(const Clock &clock, Random &random, KeyValueStore &store, AgentState &state,
                ControlCounters &counters, std::function<bool()> cancelled);

    /** Does one read, one watch or nothing. @return how long to wait before the next step */
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
    TimePoint nextRead; ///< initially in the past, so that the first step reads
    std::uint64_t revision = 0;
    bool watching = false;
    unsigned failures = 0;
};

} // namespace bronzeshed

#endif
