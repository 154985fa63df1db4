#ifndef BRONZESHED_BASE_CLOCK_H
#define BRONZESHED_BASE_CLOCK_H

#include <chrono>
#include <cstdint>

namespace bronzeshed {

using Duration = std::chrono::nanoseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/** Interface to a monotonic clock. */
class Clock
{
public:
    virtual ~Clock() = default;
    virtual TimePoint now() const = 0;
};

/** Monotonic clock of the operating system. */
class SystemClock : public Clock
{
public:
    TimePoint now() const override { return std::chrono::steady_clock::now(); }
};

/** Wall-clock time in milliseconds since 1970. It jumps when the system clock is set. */
inline std::int64_t wallClockMs()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

/** Clock that advances only through advance() and set(), for tests and simulations. */
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
