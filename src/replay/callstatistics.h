#ifndef BRONZESHED_REPLAY_CALLSTATISTICS_H
#define BRONZESHED_REPLAY_CALLSTATISTICS_H

#include "replay/callrecord.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bronzeshed {

/** How often each request identity was executed, over all upstreams. */
using ExecutionCounts = std::map<std::string, std::uint64_t>;

/**
 * The smallest value that at least the share @p share of the values do not exceed; zero if there
 * are none.
 * @param sorted values in ascending order
 */
Duration quantile(const std::vector<Duration> &sorted, double share);

/** Results of the calls of one class. */
class ClassStatistics
{
public:
    explicit ClassStatistics(Duration target)
        : target(target)
    {
    }

    /** Adds a call that has ended or was given up. */
    void add(const CallRecord &record, const ExecutionCounts &executions);

    /** Whether a guarantee was broken: a wrong, doubled, lost or invalid call or a false not-run.
     */
    bool hasViolation() const;
    /** The line of key=value pairs about class @p name. */
    std::string line(const std::string &name) const;

private:
    void checkExecutions(const CallRecord &record, const ExecutionCounts &executions);

    Duration target;
    std::uint64_t calls = 0;
    std::uint64_t answered = 0;
    std::uint64_t failed = 0; ///< answered with an error of the upstream
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t invalid = 0;
    std::uint64_t wrong = 0;
    std::uint64_t doubled = 0;
    std::uint64_t lost = 0;
    std::uint64_t ranNotRun = 0; ///< reported as not run, but an upstream ran it
    std::uint64_t attempts = 0;
    std::uint64_t withinTarget = 0;
    std::vector<Duration> latencies; ///< of answered calls
};

} // namespace bronzeshed

#endif
