// The part of the dispatcher that places calls at upstreams which other entries use as well.

#include "routing/dispatcher.h"
#include "routing/opencall.h"
#include "routing/sharedupstreampolicy.h"

#include <algorithm>

namespace bronzeshed {

bool Dispatcher::survey(OpenCall &call)
{
    if (call.surveyed || this->options.loadQueriesPerCall == 0) {
        return false;
    }
    call.surveyed = true;
    // One time for all costs: an order that changes while sorting is none.
    const TimePoint now = this->clock.now();
    auto views = this->candidates(call);
    const auto isIdeal
        = [&](const UpstreamView *view) { return SharedUpstreamPolicy::isIdeal(*view, now); };
    if (views.size() < 2 || std::any_of(views.begin(), views.end(), isIdeal)) {
        return false;
    }
    // Shuffled, so that upstreams of equal cost are asked in turn.
    for (std::size_t i = views.size() - 1; i > 0; --i) {
        std::swap(views[i], views[this->random.below(i + 1)]);
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
    if (found != this->calls.end()) {
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
    this->startAttempt(call, *view, false);
    this->armHedge(call, *view);
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
    double drawn = total * this->random.unit();
    for (const WeightedService &part : target.split) {
        if (drawn < part.weight) {
            return part.service;
        }
        drawn -= part.weight;
    }
    return target.split.back().service;
}

} // namespace bronzeshed
