#ifndef BRONZESHED_BASE_CLOCK_H
#define BRONZESHED_BASE_CLOCK_H

#include <chrono>
#include <cstdint>

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

/** Wall-clock time in milliseconds since 1970; it may jump. */
inline std::int64_t wallClockMs()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

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
