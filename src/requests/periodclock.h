#ifndef BRONZESHED_REQUESTS_PERIODCLOCK_H
#define BRONZESHED_REQUESTS_PERIODCLOCK_H

#include "base/clock.h"

#include <cstdint>

namespace bronzeshed {

/** Whether the ledger accepts ids of a given period at the current time. */
enum class PeriodCheck { Acceptable, InFuture, Expired };

/** Counts fixed-length periods since the start of this process, on the monotonic clock. */
class PeriodClock
{
public:
    static constexpr std::chrono::seconds Length{60};
    /**
     * Number of periods by which an accepted id may be ahead of this clock. Other entries derive
     * the period of a ticket from the wall-clock start time in the incarnation, so a ticket can be
     * slightly ahead.
     */
    static constexpr std::uint64_t MaxPeriodsAhead = 1;
    /** Number of periods after which an id expires. */
    static constexpr std::uint64_t MaxAgePeriods = 10;

    /**
     * @param start begin of period 0. It lies in the future if the incarnation holds a later time
     * than the wall clock; tickets carry period 0 until then.
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
