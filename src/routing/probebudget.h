#ifndef BRONZESHED_ROUTING_PROBEBUDGET_H
#define BRONZESHED_ROUTING_PROBEBUDGET_H

#include "base/strongid.h"
#include "config/declaration.h"
#include "routing/tokenbucket.h"

#include <map>

namespace bronzeshed {

/** Keeps the probes of one entry within its part of the declared measuring budget. */
class ProbeBudget
{
public:
    explicit ProbeBudget(TimePoint now);

    /** Takes over a declared budget. */
    void configure(const MeasuringBudget &budget, TimePoint now);

    /** Lets an upstream with @p slots earn probe time from @p now on. */
    void track(const UpstreamId &upstream, unsigned slots, TimePoint now);

    /** Takes the cost of one probe of a tracked upstream if the budget allows it. */
    bool trySpend(const UpstreamId &upstream, TimePoint now);

    /** Drops what is known about an upstream that is gone. */
    void forget(const UpstreamId &upstream) { this->slotTime.erase(upstream); }

private:
    MeasuringBudget budget;
    std::map<UpstreamId, TokenBucket> slotTime; ///< in seconds of one slot
    TokenBucket bytes;
};

} // namespace bronzeshed

#endif
