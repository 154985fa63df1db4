#ifndef BRONZESHED_REPLAY_CALLSTATISTICS_H
#define BRONZESHED_REPLAY_CALLSTATISTICS_H

#include "replay/callrecord.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bronzeshed {

/** Number of executions of each request identity, summed over all upstreams. */
using ExecutionCounts = std::map<std::string, std::uint64_t>;

/**
 * Returns the nearest-rank quantile: the smallest value that is not exceeded by at least the
 * fraction @p share of the values. Returns zero if there are none.
 * @param sorted values in ascending order
 */
Duration quantile(const std::vector<Duration> &sorted, double share);

/** Statistics of the calls of one class. */
class ClassStatistics
{
public:
    explicit ClassStatistics(Duration target)
        : target(target)
    {
    }

    /** Adds a call that has ended or was abandoned. */
    void add(const CallRecord &record, const ExecutionCounts &executions);

    /**
     * Whether a guarantee was violated: a call was wrong, doubled, lost or invalid, or it ran
     * although it was reported as not run.
     */
    bool hasViolation() const;
    /** Returns a line of key=value pairs for the class @p name. */
    std::string line(const std::string &name) const;

private:
    void checkExecutions(const CallRecord &record, const ExecutionCounts &executions);

    Duration target;
    std::uint64_t calls = 0;
    std::uint64_t answered = 0;
    std::uint64_t failed = 0; ///< answered with an error response of the upstream
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t invalid = 0;
    std::uint64_t wrong = 0;
    std::uint64_t doubled = 0;
    std::uint64_t lost = 0;
    std::uint64_t ranNotRun = 0; ///< reported as not run, but executed by an upstream
    std::uint64_t attempts = 0;
    std::uint64_t withinTarget = 0;
    std::vector<Duration> latencies; ///< of answered calls
};

} // namespace bronzeshed

#endif
