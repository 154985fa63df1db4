#include "requests/periodclock.h"

namespace bronzeshed {

PeriodClock::PeriodClock(const Clock &clock, TimePoint start)
    : clock(clock)
    , start(start)
{
}

std::uint64_t PeriodClock::current() const
{
    const TimePoint now = this->clock.now();
    return now < this->start ? 0 : static_cast<std::uint64_t>((now - this->start) / Length);
}

PeriodCheck PeriodClock::check(std::uint64_t period) const
{
    const std::uint64_t now = this->current();
    if (period > now + MaxPeriodsAhead) {
        return PeriodCheck::InFuture;
    }
    return period + MaxAgePeriods < now ? PeriodCheck::Expired : PeriodCheck::Acceptable;
}

} // namespace bronzeshed
