#ifndef BRONZESHED_MODEL_SPEEDSCHEDULE_H
#define BRONZESHED_MODEL_SPEEDSCHEDULE_H

#include "base/clock.h"
#include "base/random.h"

#include <vector>

namespace bronzeshed {

/** Speed of a server over time: full, and a third while a noisy neighbour is active. */
class SpeedSchedule
{
public:
    /** Mean speed over a long time. */
    static constexpr double MeanSpeed = (100 + 20 / 3.0) / 120;

    SpeedSchedule(std::uint64_t seed, TimePoint start);

    /** When @p work begun at @p start is done. */
    TimePoint finish(TimePoint start, Duration work);

    /** The server runs at a third of its speed until @p time. */
    void setColdUntil(TimePoint time) { this->coldUntil = time; }

private:
    struct Phase
    {
        TimePoint end;
        bool slow = false;
    };

    const Phase &phaseAt(TimePoint time);

    SeededRandom random;
    std::vector<Phase> phases;
    std::size_t hint = 0; ///< index near the phase of the last start
    TimePoint coldUntil;
};

} // namespace bronzeshed

#endif
