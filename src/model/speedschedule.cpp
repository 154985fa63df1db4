#include "model/speedschedule.h"

#include <algorithm>

namespace bronzeshed {

namespace {

constexpr std::chrono::milliseconds MeanFull{100};
constexpr std::chrono::milliseconds MeanSlow{20};
constexpr int SlowDivisor = 3;
/** Phases last from half to one and a half times their mean. */
constexpr double Spread = 0.5;

} // namespace

SpeedSchedule::SpeedSchedule(std::uint64_t seed, TimePoint start)
    : random(seed)
{
    // A random first phase keeps the servers out of step.
    const auto offset = Duration(this->random.below(Duration(MeanFull + MeanSlow).count()));
    this->phases.push_back({start + offset, false});
}

const SpeedSchedule::Phase &SpeedSchedule::phaseAt(TimePoint time)
{
    while (this->phases.back().end <= time) {
        const Phase last = this->phases.back();
        const Duration mean = last.slow ? MeanFull : MeanSlow;
        const double factor = 1 - Spread + 2 * Spread * this->random.uniform();
        const Duration length(static_cast<std::int64_t>(mean.count() * factor));
        this->phases.push_back({last.end + length, !last.slow});
    }
    while (this->hint > 0 && this->phases[this->hint - 1].end > time) {
        --this->hint;
    }
    while (this->phases[this->hint].end <= time) {
        ++this->hint;
    }
    return this->phases[this->hint];
}

TimePoint SpeedSchedule::finish(TimePoint start, Duration work)
{
    TimePoint time = start;
    while (true) {
        const Phase &phase = this->phaseAt(time);
        const bool cold = time < this->coldUntil;
        const int divisor = phase.slow || cold ? SlowDivisor : 1;
        const TimePoint end = cold ? std::min(phase.end, this->coldUntil) : phase.end;
        const Duration possible = (end - time) / divisor;
        if (work <= possible) {
            return time + work * divisor;
        }
        // At least one step forward, as the division rounds down.
        work -= possible;
        time = end;
    }
}

} // namespace bronzeshed
