#ifndef BRONZESHED_METRICS_CALLWINDOW_H
#define BRONZESHED_METRICS_CALLWINDOW_H

#include "base/clock.h"
#include "metrics/callcounts.h"

#include <array>

namespace bronzeshed {

/** Sliding-window counter of the calls of the last minute. Of fixed size; not thread-safe. */
class CallWindow
{
public:
    static constexpr std::chrono::seconds BucketLength{5};
    static constexpr std::size_t BucketCount = 12;

    explicit CallWindow(const Clock &clock);

    /** Adds calls that ended at the current time. */
    void add(const CallCounts &ended);

    /** Returns the sum over the current bucket and the 11 before it, that is the last 55 to 60 s.
     */
    CallCounts counts() const;

private:
    struct Bucket
    {
        std::int64_t number = -1; ///< bucket lengths since the clock's epoch; -1 if unused
        CallCounts counts;
    };

    std::int64_t currentBucketNumber() const;

    const Clock &clock;
    std::array<Bucket, BucketCount> buckets;
};

} // namespace bronzeshed

#endif
