#ifndef BRONZESHED_MODEL_MODELRESULT_H
#define BRONZESHED_MODEL_MODELRESULT_H

#include "base/clock.h"
#include "base/strongid.h"
#include "requests/outcome.h"

#include <map>
#include <vector>

namespace bronzeshed {

/** What one run of the model measured. */
class ModelResult
{
public:
    /** Counts a call that ended. */
    void addCall(const ClassName &name, Outcome outcome, Duration time, Duration target);

    /** Quantile of the time from admission to answer; zero without answers. */
    Duration quantile(double share) const;
    /** Share of the admitted calls that were answered within their target. */
    double shareWithinTarget() const;
    /** Share of the calls that were refused at admission or expired in the queue. */
    double shareNotRun() const;
    /** Answered share of the class that got the fewest of its calls answered. */
    double leastServedShare() const;
    std::uint64_t calls() const { return this->total; }

    std::uint64_t hedges = 0;
    std::uint64_t retries = 0;
    std::uint64_t probes = 0;
    double cancelledShare = 0; ///< of the slot time in use
    double probeShare = 0; ///< of all slot time

private:
    struct ClassCount
    {
        std::uint64_t calls = 0;
        std::uint64_t answered = 0;
    };

    std::map<ClassName, ClassCount> classes;
    mutable std::vector<Duration> times;
    mutable bool sorted = false;
    std::uint64_t total = 0;
    std::uint64_t notRun = 0;
    std::uint64_t withinTarget = 0;
};

} // namespace bronzeshed

#endif
