#ifndef BRONZESHED_ROUTING_SHAREDUPSTREAMPOLICY_H
#define BRONZESHED_ROUTING_SHAREDUPSTREAMPOLICY_H

#include "routing/selectionpolicy.h"

namespace bronzeshed {

/**
 * Policy for upstreams shared by several entries. Chooses the upstream with the shortest expected
 * time, based on the newest load reports and the own attempts started since.
 */
class SharedUpstreamPolicy : public SelectionPolicy
{
public:
    explicit SharedUpstreamPolicy(const Clock &clock)
        : clock(clock)
    {
    }

    UpstreamView *choose(const std::vector<UpstreamView *> &candidates, Random &random) override;

    /** Expected time of a call, as a multiple of the normal time on an idle upstream. */
    static double slowdown(const UpstreamView &view, TimePoint now);
    /** slowdown() with penalties for unresponsive upstreams, other zones and other regions. */
    static double cost(const UpstreamView &view, TimePoint now);
    /** Whether slowdown() is based on a recent load report and not on mean values. */
    static bool hasCurrentReport(const UpstreamView &view, TimePoint now);
    /**
     * Whether no other upstream can be clearly better, because this one is idle at normal speed in
     * the own availability zone according to a fresh report.
     */
    static bool isIdeal(const UpstreamView &view, TimePoint now);

private:
    const Clock &clock;
};

} // namespace bronzeshed

#endif
