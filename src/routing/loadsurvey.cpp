#include "routing/loadsurvey.h"

namespace bronzeshed {

namespace {

/** Later answers say nothing about a call that has been placed meanwhile. */
constexpr std::chrono::milliseconds QueryTimeout{100};

} // namespace

LoadSurvey::LoadSurvey(const Clock &clock, TimerService &timers, DispatcherOutput &output,
                       std::function<void(CallId)> ready,
                       std::function<void(const UpstreamId &)> late)
    : clock(clock)
    , timers(timers)
    , output(output)
    , ready(std::move(ready))
    , late(std::move(late))
{
}

LoadSurvey::~LoadSurvey()
{
    for (const auto &[call, pending] : this->calls) {
        this->timers.cancel(pending.limit);
    }
}

bool LoadSurvey::begin(CallId call, const std::vector<UpstreamInfo> &upstreams)
{
    Pending pending;
    for (const UpstreamInfo &upstream : upstreams) {
        if (this->ask(upstream)) {
            this->queries[upstream.id].push_back(call);
            pending.asked.insert(upstream.id);
        }
    }
    if (pending.asked.empty()) {
        return false;
    }
    pending.limit = this->timers.once(this->clock.now() + MaxWait,
                                      [this, call](TimePoint) { this->expire(call); });
    this->calls.emplace(call, std::move(pending));
    return true;
}

bool LoadSurvey::ask(const UpstreamInfo &upstream)
{
    return this->queries.contains(upstream.id)
        || this->output.startProbe(ProbeOrder{upstream, QueryTimeout, true});
}

void LoadSurvey::queryEnded(const UpstreamId &id, bool decisive)
{
    const auto query = this->queries.extract(id);
    if (query.empty()) {
        return;
    }
    for (const CallId call : query.mapped()) {
        const auto found = this->calls.find(call);
        if (found == this->calls.end()) {
            continue;
        }
        found->second.asked.erase(id);
        if (decisive || found->second.asked.empty()) {
            this->end(call);
        }
    }
}

void LoadSurvey::cancel(CallId call)
{
    const auto found = this->calls.find(call);
    if (found != this->calls.end()) {
        this->timers.cancel(found->second.limit);
        this->calls.erase(found);
    }
}

void LoadSurvey::expire(CallId call)
{
    const std::set<UpstreamId> unanswered = this->calls.at(call).asked;
    for (const UpstreamId &id : unanswered) {
        this->late(id);
    }
    this->end(call);
}

void LoadSurvey::end(CallId call)
{
    this->cancel(call);
    this->ready(call);
}

} // namespace bronzeshed
