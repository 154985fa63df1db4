#ifndef BRONZESHED_REPLAY_REPLAY_H
#define BRONZESHED_REPLAY_REPLAY_H

#include "base/settings.h"
#include "config/declaration.h"
#include "replay/callrunner.h"
#include "replay/callstatistics.h"

#include <ostream>

namespace bronzeshed {

/** What to replay, and against what. */
struct ReplayOptions
{
    std::vector<TraceCall> trace;
    Declaration declaration;
    std::vector<Endpoint> targets; ///< entries to ask, or upstreams if direct
    std::vector<Endpoint> upstreams; ///< asked for their executions at the end
    CallerOptions caller;
    std::chrono::milliseconds grace{30000}; ///< for calls still open after the last start
    std::ostream *latencies = nullptr; ///< gets a line "call latency_us" for each answered call
};

/**
 * Replays a trace in real time and prints one line for each class.
 * @return whether no guarantee was broken
 * @throws Error if the trace has an undeclared class or an upstream does not state its executions
 */
bool replayTrace(const ReplayOptions &options, std::ostream &output);

/**
 * Adds the counts of an upstream's /executions, lines "identity count".
 * @throws ProtocolError if a line is malformed
 */
void addExecutions(const std::string &text, ExecutionCounts &counts);

} // namespace bronzeshed

#endif
