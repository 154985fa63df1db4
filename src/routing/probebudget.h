#ifndef BRONZESHED_ROUTING_PROBEBUDGET_H
#define BRONZESHED_ROUTING_PROBEBUDGET_H

#include "base/strongid.h"
#include "config/declaration.h"
#include "routing/tokenbucket.h"

#include <map>

namespace bronzeshed {

/** Limits the probes of one entry to its part of the declared measuring budget. */
class ProbeBudget
{
public:
    explicit ProbeBudget(TimePoint now);

    /** Applies a declared budget. */
    void configure(const MeasuringBudget &budget, TimePoint now);

    /** Starts to accumulate probe time for an upstream with @p slots at @p now. */
    void track(const UpstreamId &upstream, unsigned slots, TimePoint now);

    /** Spends the cost of one probe of a tracked upstream if the budget allows it. */
    bool trySpend(const UpstreamId &upstream, TimePoint now);

    /** Discards the budget of a removed upstream. */
    void untrack(const UpstreamId &upstream) { this->slotTime.erase(upstream); }

private:
    MeasuringBudget budget;
    std::map<UpstreamId, TokenBucket> slotTime; ///< in seconds of slot time
    TokenBucket bytes;
};

} // namespace bronzeshed

#endif
