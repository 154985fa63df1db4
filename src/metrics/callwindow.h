#ifndef BRONZESHED_METRICS_CALLWINDOW_H
#define BRONZESHED_METRICS_CALLWINDOW_H

#include "base/clock.h"
#include "metrics/callcounts.h"

#include <array>

namespace bronzeshed {

/** Counts of the calls of about the last minute. Of fixed size; not thread-safe. */
class CallWindow
{
public:
    static constexpr std::chrono::seconds BucketLength{5};
    static constexpr std::size_t Buckets = 12;

    explicit CallWindow(const Clock &clock);

    /** Adds calls that ended now. */
    void add(const CallCounts &ended);

    /** Sum over the current bucket and the 11 before it: the last 55 to 60 s. */
    CallCounts counts() const;

private:
    struct Bucket
    {
        std::int64_t number = -1; ///< time since the clock's epoch in bucket lengths
        CallCounts counts;
    };

    std::int64_t currentNumber() const;

    const Clock &clock;
    std::array<Bucket, Buckets> buckets;
};

} // namespace bronzeshed

#endif
