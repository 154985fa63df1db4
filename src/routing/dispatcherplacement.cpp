// Dispatcher functions that place calls at upstreams shared with other entries.

#include "routing/dispatcher.h"
#include "routing/opencall.h"
#include "routing/sharedupstreampolicy.h"

#include <algorithm>

namespace bronzeshed {

namespace {

/** Load probe rounds per call. The second one runs if the first found no upstream in time. */
constexpr unsigned MaxLoadProbeRounds = 2;
/**
 * A call is refused if its expected time exceeds this share of its target. Times vary around the
 * expected one, so a call that is expected at its target is late as often as in time.
 */
constexpr double MaxExpectedShare = 0.8;
/**
 * Slowdown up to which no call is refused: the mean of upstreams without a queue. A class whose
 * work time is estimated too long, or whose target is too short for it, would otherwise be refused
 * for good, without further calls that correct the estimate.
 */
constexpr double AlwaysAdmittedSlowdown = 1.75;

} // namespace

bool Dispatcher::startLoadProbes(OpenCall &call)
{
    if (call.loadProbeRounds >= MaxLoadProbeRounds || this->options.loadProbesPerCall == 0) {
        return false;
    }
    // All costs are computed for the same time. A sort needs an order that does not change.
    const TimePoint now = this->clock.now();
    auto views = this->candidates(call);
    const auto needsNoProbes = [&](const UpstreamView *view) {
        return call.loadProbeRounds == 0 ? SharedUpstreamPolicy::isIdeal(*view, now)
                                         : SharedUpstreamPolicy::hasCurrentReport(*view, now)
                && !this->isExpectedLate(call, *view, 1.0);
    };
    if (views.size() < 2 || std::any_of(views.begin(), views.end(), needsNoProbes)) {
        return false;
    }
    if (call.loadProbeRounds > 0) {
        std::erase_if(views, [&](const UpstreamView *view) {
            return view->load && now - view->loadReceivedAt <= LoadProbeRound::MaxWait;
        });
    }
    ++call.loadProbeRounds;
    // The shuffle distributes the probes over upstreams of equal cost.
    for (std::size_t i = views.size(); i > 1; --i) {
        std::swap(views[i - 1], views[this->random.below(i)]);
    }
    std::stable_sort(
        views.begin(), views.end(), [&](const UpstreamView *left, const UpstreamView *right) {
            return SharedUpstreamPolicy::cost(*left, now) < SharedUpstreamPolicy::cost(*right, now);
        });
    views.resize(std::min<std::size_t>(views.size(), this->options.loadProbesPerCall));
    std::vector<UpstreamInfo> probed;
    probed.reserve(views.size());
    for (const UpstreamView *view : views) {
        probed.push_back(view->info);
    }
    return this->loadProbeRound.begin(call.id, probed);
}

void Dispatcher::placeAfterLoadProbes(CallId id)
{
    const auto found = this->calls.find(id);
    if (found != this->calls.end() && !this->startLoadProbes(*found->second)) {
        this->place(*found->second);
    }
}

void Dispatcher::place(OpenCall &call)
{
    UpstreamView *view = this->policy->choose(this->placementCandidates(call), this->random);
    if (view == nullptr) {
        this->abandon(call, Reason::NoUpstream);
        return;
    }
    if (this->mayRefuse(call) && this->isExpectedLate(call, *view, MaxExpectedShare)) {
        this->abandon(call, Reason::QueueFull);
        return;
    }
    this->startAttempt(call, *view, false);
    this->armHedge(call, *view);
}

std::vector<UpstreamView *> Dispatcher::placementCandidates(const OpenCall &call)
{
    auto views = this->candidates(call);
    // In a large fleet, most upstreams have no current report. The mean that is assumed for them
    // would make them seem better than all probed ones when the whole service is overloaded.
    const TimePoint now = this->clock.now();
    const auto unknown = [now](const UpstreamView *view) {
        return !SharedUpstreamPolicy::hasCurrentReport(*view, now);
    };
    if (!std::all_of(views.begin(), views.end(), unknown)) {
        std::erase_if(views, unknown);
    }
    return views;
}

bool Dispatcher::isExpectedLate(const OpenCall &call, const UpstreamView &view,
                                double tolerance) const
{
    const TimePoint now = this->clock.now();
    const double slowdown = SharedUpstreamPolicy::slowdown(view, now);
    const auto expected = this->workTimes.expected(call.target.name, slowdown);
    return slowdown > AlwaysAdmittedSlowdown && expected
        && now - call.arrival + *expected > call.target.answerWithin * tolerance;
}

bool Dispatcher::mayRefuse(const OpenCall &call) const
{
    // A call is not refused while its service has a class of lower priority (a larger number),
    // because calls of that class make room.
    return !call.mayHaveRun
        && std::none_of(this->declaration.classes.begin(), this->declaration.classes.end(),
                        [&](const auto &entry) {
                            return entry.second.priority > call.target.priority
                                && entry.second.service == call.target.service;
                        });
}

ServiceName Dispatcher::selectService(const ClassTarget &target)
{
    double total = 0;
    for (const WeightedService &part : target.split) {
        total += part.weight;
    }
    if (total <= 0) {
        return target.service;
    }
    double offset = total * this->random.uniform();
    for (const WeightedService &part : target.split) {
        if (offset < part.weight) {
            return part.service;
        }
        offset -= part.weight;
    }
    return target.split.back().service;
}

} // namespace bronzeshed
