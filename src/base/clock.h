#ifndef BRONZESHED_BASE_CLOCK_H
#define BRONZESHED_BASE_CLOCK_H

#include <chrono>

namespace bronzeshed {

using Duration = std::chrono::nanoseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/** Port for monotonic time. */
class Clock
{
public:
    virtual ~Clock() = default;
    virtual TimePoint now() const = 0;
};

/** Monotonic time of the machine. */
class SystemClock : public Clock
{
public:
    TimePoint now() const override { return std::chrono::steady_clock::now(); }
};

/** Time that moves only when told to, for tests and models. */
class ManualClock : public Clock
{
public:
    TimePoint now() const override { return this->current; }
    void advance(Duration step) { this->current += step; }
    void set(TimePoint time) { this->current = time; }

private:
    TimePoint current{std::chrono::hours(1)};
};

} // namespace bronzeshed

#endif
