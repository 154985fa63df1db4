#ifndef BRONZESHED_MODEL_MODELOPTIONS_H
#define BRONZESHED_MODEL_MODELOPTIONS_H

#include "base/clock.h"

#include <cstdint>

namespace bronzeshed {

/** What disturbs the modelled servers beside noisy neighbours. */
enum class Scenario {
    Steady,
    Faults, ///< one server fails fast for a tenth of the time, another is replaced by a cold one
};

/** One run of the model. */
struct ModelOptions
{
    std::uint64_t seed = 1;
    unsigned servers = 20;
    unsigned slots = 2;
    unsigned entries = 18; ///< with free choice
    double load = 0.8; ///< share of the mean capacity, slow phases included
    Duration duration = std::chrono::seconds(20);
    Duration meanWork = std::chrono::milliseconds(5);
    Duration oneWay = std::chrono::microseconds(250); ///< between entry and server
    bool redrawWork = false; ///< each attempt has work of its own instead of that of its call
    Scenario scenario = Scenario::Steady;
};

} // namespace bronzeshed

#endif
