#include "metrics/callwindow.h"

namespace bronzeshed {

CallWindow::CallWindow(const Clock &clock)
    : clock(clock)
{
}

void CallWindow::add(const CallCounts &ended)
{
    const std::int64_t number = this->currentBucketNumber();
    Bucket &bucket = this->buckets[static_cast<std::size_t>(number) % BucketCount];
    if (bucket.number != number) {
        bucket = {number, {}};
    }
    bucket.counts += ended;
}

CallCounts CallWindow::counts() const
{
    const std::int64_t oldest
        = this->currentBucketNumber() - static_cast<std::int64_t>(BucketCount) + 1;
    CallCounts sum;
    for (const Bucket &bucket : this->buckets) {
        if (bucket.number >= oldest) {
            sum += bucket.counts;
        }
    }
    return sum;
}

std::int64_t CallWindow::currentBucketNumber() const
{
    return this->clock.now().time_since_epoch() / BucketLength;
}

} // namespace bronzeshed
