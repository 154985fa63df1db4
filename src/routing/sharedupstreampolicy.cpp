#include "routing/sharedupstreampolicy.h"

#include <algorithm>

namespace bronzeshed {

namespace {

/**
 * Noisy neighbours on the machine of an upstream's instance change about every 300 ms, so older
 * reports say little.
 */
constexpr std::chrono::milliseconds MaxReportAge{300};
/** A report younger than the time that a load probe takes is as good as a new one. */
constexpr std::chrono::milliseconds FreshReportAge{10};
/** Mean slowdown of an upstream without a current report: a quarter run 4 times slower. */
constexpr double DefaultSlowdown = 1.75;
/** Slowdown of an upstream with nearly all slots in use. */
constexpr double SaturatedSlowdown = 1.7;
constexpr double SaturatedShare
    = 0.8; ///< share of slots in use from which SaturatedSlowdown applies
constexpr double ColdSlowdown = 2.0; ///< slowdown of an upstream in its first seconds
/** Penalty for an upstream that does not answer a load probe and is probably down. */
constexpr double UnresponsiveFactor = 8.0;
/** Time for which the penalty applies; the upstream may be probed again afterwards. */
constexpr std::chrono::seconds UnresponsiveTime{1};
/** Traffic between zones costs money, so a slightly slower upstream in the own zone is preferred.
 */
constexpr double OtherZoneFactor = 1.15;
constexpr double OtherRegionFactor = 4.0;
constexpr double Percent = 100.0;
constexpr unsigned IdealWorkTimePercent = 110;

} // namespace

bool SharedUpstreamPolicy::hasCurrentReport(const UpstreamView &view, TimePoint now)
{
    return view.load && now - view.loadReceivedAt <= MaxReportAge;
}

double SharedUpstreamPolicy::slowdown(const UpstreamView &view, TimePoint now)
{
    const bool known = hasCurrentReport(view, now);
    double factor = known ? view.load->workTimePercent / Percent : DefaultSlowdown;
    const unsigned slots = std::max(1U, view.slots);
    const unsigned ahead = known ? view.estimatedRequests() : view.outstanding;
    if (ahead + 1 >= slots * SaturatedShare) {
        factor *= SaturatedSlowdown;
    }
    if (ahead >= slots) {
        // On average, a slot becomes free every (service time / slots).
        factor *= 1.0 + static_cast<double>(ahead - slots + 1) / slots;
    }
    return factor * (view.cold ? ColdSlowdown : 1.0);
}

double SharedUpstreamPolicy::cost(const UpstreamView &view, TimePoint now)
{
    double factor = slowdown(view, now);
    const bool unresponsive = view.unresponsiveAt && now - *view.unresponsiveAt <= UnresponsiveTime;
    factor *= unresponsive ? UnresponsiveFactor : 1.0;
    factor *= view.sameZone ? 1.0 : OtherZoneFactor;
    factor *= view.sameRegion ? 1.0 : OtherRegionFactor;
    return factor;
}

bool SharedUpstreamPolicy::isIdeal(const UpstreamView &view, TimePoint now)
{
    return view.load && now - view.loadReceivedAt <= FreshReportAge && view.estimatedRequests() == 0
        && view.load->workTimePercent <= IdealWorkTimePercent && !view.cold && !view.unresponsiveAt
        && !view.trial && view.sameZone;
}

UpstreamView *SharedUpstreamPolicy::choose(const std::vector<UpstreamView *> &candidates,
                                           Random &random)
{
    const TimePoint now = this->clock.now();
    return chooseCheapest(candidates, random,
                          [now](const UpstreamView &view) { return cost(view, now); });
}

} // namespace bronzeshed
