#ifndef BRONZESHED_REPLAY_TRACEGENERATOR_H
#define BRONZESHED_REPLAY_TRACEGENERATOR_H

#include "base/random.h"
#include "replay/trace.h"

#include <string>
#include <vector>

namespace bronzeshed {

/** Load of one class in a generated trace. */
struct ClassLoad
{
    ClassName className;
    std::string method;
    std::string path;
    double share = 1.0; ///< fraction of all calls
    std::size_t meanBodyBytes = 0;
};

/** Parameters of a generated trace. */
struct TraceProfile
{
    std::vector<ClassLoad> classes;
    std::vector<RegionName> regions; ///< each has the zones REGION-a and REGION-b
    double callsPerSecond = 100.0;
    std::chrono::seconds length{20};
};

/**
 * Returns the profile of a deployment, "tidemark" or "groyne".
 * @throws SettingsError if there is no such profile
 */
TraceProfile makeTraceProfile(const std::string &name);

/**
 * Generates a trace in which the call rate of each class and zone alternates between quiet phases
 * and bursts of a few milliseconds.
 */
std::vector<TraceCall> generateTrace(const TraceProfile &profile, Random &random);

} // namespace bronzeshed

#endif
