#include "metrics/callwindow.h"

namespace bronzeshed {

CallWindow::CallWindow(const Clock &clock)
    : clock(clock)
{
}

void CallWindow::add(const CallCounts &ended)
{
    const std::int64_t number = this->currentNumber();
    Bucket &bucket = this->buckets[static_cast<std::size_t>(number) % Buckets];
    if (bucket.number != number) {
        bucket = {number, {}};
    }
    bucket.counts += ended;
}

CallCounts CallWindow::counts() const
{
    const std::int64_t oldest = this->currentNumber() - static_cast<std::int64_t>(Buckets) + 1;
    CallCounts sum;
    for (const Bucket &bucket : this->buckets) {
        if (bucket.number >= oldest) {
            sum += bucket.counts;
        }
    }
    return sum;
}

std::int64_t CallWindow::currentNumber() const
{
    return this->clock.now().time_since_epoch() / BucketLength;
}

} // namespace bronzeshed
