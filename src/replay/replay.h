#ifndef BRONZESHED_REPLAY_REPLAY_H
#define BRONZESHED_REPLAY_REPLAY_H

#include "base/settings.h"
#include "config/declaration.h"
#include "replay/callrunner.h"
#include "replay/callstatistics.h"

#include <ostream>

namespace bronzeshed {

/** Options of a replay. */
struct ReplayOptions
{
    std::vector<TraceCall> trace;
    Declaration declaration;
    std::vector<Endpoint> targets; ///< entries to query by lookups, or upstreams if direct
    std::vector<Endpoint> upstreams; ///< queried for their executions at the end
    CallerOptions caller;
    std::chrono::milliseconds grace{30000}; ///< time after the last start for open calls to end
    std::ostream *latencies = nullptr; ///< receives a line "call latency_us" for each answered call
};

/**
 * Replays a trace in real time and prints one line of statistics for each class.
 * @return true if no guarantee was violated
 * @throws Error if the trace has an undeclared class, or an upstream does not return its executions
 */
bool replayTrace(const ReplayOptions &options, std::ostream &output);

/**
 * Adds the execution counts from an upstream's response to /executions, which consists of lines
 * "identity count".
 * @throws ProtocolError if a line is malformed
 */
void addExecutions(const std::string &text, ExecutionCounts &counts);

} // namespace bronzeshed

#endif
