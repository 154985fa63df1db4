#ifndef BRONZESHED_ROUTING_SHAREDUPSTREAMPOLICY_H
#define BRONZESHED_ROUTING_SHAREDUPSTREAMPOLICY_H

#include "routing/selectionpolicy.h"

namespace bronzeshed {

/**
 * For upstreams that several entries share: the upstream at which a call is expected to end first,
 * by the newest load reports and the own attempts since.
 */
class SharedUpstreamPolicy : public SelectionPolicy
{
public:
    explicit SharedUpstreamPolicy(const Clock &clock)
        : clock(clock)
    {
    }

    UpstreamView *choose(const std::vector<UpstreamView *> &candidates, Random &random) override;

    /** Expected time of a call there, as a multiple of the usual time on an idle upstream. */
    static double slowdown(const UpstreamView &view, TimePoint now);
    /** slowdown(), raised for what a call elsewhere costs more. */
    static double cost(const UpstreamView &view, TimePoint now);
    /** Whether slowdown() rests on a report of the upstream and not on means. */
    static bool isKnown(const UpstreamView &view, TimePoint now);
    /** Whether no other upstream can be clearly better: idle, recently reported, at usual speed. */
    static bool isIdeal(const UpstreamView &view, TimePoint now);

private:
    const Clock &clock;
};

} // namespace bronzeshed

#endif
