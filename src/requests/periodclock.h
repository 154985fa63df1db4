#ifndef BRONZESHED_REQUESTS_PERIODCLOCK_H
#define BRONZESHED_REQUESTS_PERIODCLOCK_H

#include "base/clock.h"

#include <cstdint>

namespace bronzeshed {

/** Whether an id of some period may be recorded now. */
enum class PeriodCheck { Acceptable, NotBegun, Expired };

/** Counts the periods of this process since its start, on the monotonic clock. */
class PeriodClock
{
public:
    static constexpr std::chrono::seconds Length{60};
    /**
     * Other entries compute the period of a ticket from the wall-clock start time inside the
     * incarnation, so the ticket can be slightly ahead of this clock.
     */
    static constexpr std::uint64_t MaxAhead = 1;
    static constexpr std::uint64_t MaxAge = 10;

    /**
     * @param start lies in the future if the incarnation states a later time than the wall clock;
     * tickets name period 0 until then
     */
    PeriodClock(const Clock &clock, TimePoint start);

    std::uint64_t current() const;
    PeriodCheck check(std::uint64_t period) const;

private:
    const Clock &clock;
    TimePoint start;
};

} // namespace bronzeshed

#endif
