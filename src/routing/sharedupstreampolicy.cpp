#include "routing/sharedupstreampolicy.h"

#include <algorithm>

namespace bronzeshed {

namespace {

/** Neighbours on a server's machine change about every 300 ms; older figures say little. */
constexpr std::chrono::milliseconds MaxReportAge{300};
/** A report younger than a query takes is as good as a new one. */
constexpr std::chrono::milliseconds FreshReport{10};
/** Mean slowdown of a server whose present speed is not known: a quarter runs 4 times slower. */
constexpr double UnknownSlowdown = 1.75;
/** Slowdown of a server whose slots are nearly all taken. */
constexpr double FullSlowdown = 1.7;
constexpr double FullShare = 0.8; ///< of the slots from which on FullSlowdown applies
constexpr double ColdSlowdown = 2.0; ///< of a server in its first seconds
/** A server that does not answer a load query is probably down. */
constexpr double SilentFactor = 8.0;
/** A server that did not answer is asked again after this time. */
constexpr std::chrono::seconds SilentTime{1};
/** Bytes between zones are paid for; a slightly slower server of the own zone is preferred. */
constexpr double OtherZoneFactor = 1.15;
constexpr double OtherRegionFactor = 4.0;
constexpr double Percent = 100.0;
constexpr unsigned IdealWorkTimePercent = 110;

} // namespace

bool SharedUpstreamPolicy::isKnown(const UpstreamView &view, TimePoint now)
{
    return view.load && now - view.loadAt <= MaxReportAge;
}

double SharedUpstreamPolicy::slowdown(const UpstreamView &view, TimePoint now)
{
    const bool known = isKnown(view, now);
    double factor = known ? view.load->workTimePercent / Percent : UnknownSlowdown;
    const unsigned slots = std::max(1U, view.slots);
    const unsigned ahead = known ? view.estimatedRequests() : view.outstanding;
    if (ahead + 1 >= slots * FullShare) {
        factor *= FullSlowdown;
    }
    if (ahead >= slots) {
        // One slot becomes free every (service time / slots).
        factor *= 1.0 + static_cast<double>(ahead - slots + 1) / slots;
    }
    return factor * (view.cold ? ColdSlowdown : 1.0);
}

double SharedUpstreamPolicy::cost(const UpstreamView &view, TimePoint now)
{
    double factor = slowdown(view, now);
    const bool silent = view.silentAt && now - *view.silentAt <= SilentTime;
    factor *= silent ? SilentFactor : 1.0;
    factor *= view.sameZone ? 1.0 : OtherZoneFactor;
    factor *= view.sameRegion ? 1.0 : OtherRegionFactor;
    return factor;
}

bool SharedUpstreamPolicy::isIdeal(const UpstreamView &view, TimePoint now)
{
    return view.load && now - view.loadAt <= FreshReport && view.estimatedRequests() == 0
        && view.load->workTimePercent <= IdealWorkTimePercent && !view.cold && !view.silentAt
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
