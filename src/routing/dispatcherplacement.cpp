// The part of the dispatcher that places calls at upstreams which other entries use as well.

#include "routing/dispatcher.h"
#include "routing/opencall.h"
#include "routing/sharedupstreampolicy.h"

#include <algorithm>

namespace bronzeshed {

namespace {

/** Rounds of load queries for a call; the second one if the first found no upstream in time. */
constexpr unsigned MaxSurveys = 2;
/** Multiple of its target that a call may be expected to take before it is refused. */
constexpr double LateTolerance = 1.25;

} // namespace

bool Dispatcher::survey(OpenCall &call)
{
    if (call.surveys >= MaxSurveys || this->options.loadQueriesPerCall == 0) {
        return false;
    }
    // One time for all costs: an order that changes while sorting is none.
    const TimePoint now = this->clock.now();
    auto views = this->candidates(call);
    const auto endsSearch = [&](const UpstreamView *view) {
        return call.surveys == 0
            ? SharedUpstreamPolicy::isIdeal(*view, now)
            : SharedUpstreamPolicy::isKnown(*view, now) && !this->isExpectedLate(call, *view, 1.0);
    };
    if (views.size() < 2 || std::any_of(views.begin(), views.end(), endsSearch)) {
        return false;
    }
    if (call.surveys > 0) {
        std::erase_if(views, [&](const UpstreamView *view) {
            return view->load && now - view->loadAt <= LoadSurvey::MaxWait;
        });
    }
    ++call.surveys;
    // Shuffled, so that upstreams of equal cost are asked in turn.
    for (std::size_t i = views.size(); i > 1; --i) {
        std::swap(views[i - 1], views[this->random.below(i)]);
    }
    std::stable_sort(
        views.begin(), views.end(), [&](const UpstreamView *left, const UpstreamView *right) {
            return SharedUpstreamPolicy::cost(*left, now) < SharedUpstreamPolicy::cost(*right, now);
        });
    views.resize(std::min<std::size_t>(views.size(), this->options.loadQueriesPerCall));
    std::vector<UpstreamInfo> asked;
    asked.reserve(views.size());
    for (const UpstreamView *view : views) {
        asked.push_back(view->info);
    }
    return this->loadSurvey.begin(call.id, asked);
}

void Dispatcher::placeSurveyed(CallId id)
{
    const auto found = this->calls.find(id);
    if (found != this->calls.end() && !this->survey(*found->second)) {
        this->place(*found->second);
    }
}

void Dispatcher::place(OpenCall &call)
{
    UpstreamView *view = this->policy->choose(this->candidates(call), this->random);
    if (view == nullptr) {
        this->abandon(call, Reason::NoUpstream);
        return;
    }
    if (this->mayRefuse(call) && this->isExpectedLate(call, *view, LateTolerance)) {
        this->abandon(call, Reason::QueueFull);
        return;
    }
    this->startAttempt(call, *view, false);
    this->armHedge(call, *view);
}

bool Dispatcher::isExpectedLate(const OpenCall &call, const UpstreamView &view,
                                double tolerance) const
{
    const TimePoint now = this->clock.now();
    const auto times = this->workTimes.find(call.target.name);
    if (times == this->workTimes.end()) {
        return false;
    }
    const auto expected = times->second.expected(SharedUpstreamPolicy::slowdown(view, now), now);
    return expected && *expected > call.target.answerWithin * tolerance;
}

bool Dispatcher::mayRefuse(const OpenCall &call) const
{
    // Calls of a lower rank make room at the same service.
    return !call.mayHaveRun
        && std::none_of(this->declaration.classes.begin(), this->declaration.classes.end(),
                        [&](const auto &entry) {
                            return entry.second.priority > call.target.priority
                                && entry.second.service == call.target.service;
                        });
}

ServiceName Dispatcher::drawService(const ClassTarget &target)
{
    double total = 0;
    for (const WeightedService &part : target.split) {
        total += part.weight;
    }
    if (total <= 0) {
        return target.service;
    }
    double drawn = total * this->random.uniform();
    for (const WeightedService &part : target.split) {
        if (drawn < part.weight) {
            return part.service;
        }
        drawn -= part.weight;
    }
    return target.split.back().service;
}

} // namespace bronzeshed
