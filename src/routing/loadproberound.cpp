#include "routing/loadproberound.h"

namespace bronzeshed {

namespace {

/** Time limit of a load probe. Later answers say nothing about a call that was already placed. */
constexpr std::chrono::milliseconds LoadProbeTimeout{100};

} // namespace

LoadProbeRound::LoadProbeRound(const Clock &clock, TimerService &timers, DispatcherOutput &output,
                               std::function<void(CallId)> ready,
                               std::function<void(const UpstreamId &)> timedOut)
    : clock(clock)
    , timers(timers)
    , output(output)
    , ready(std::move(ready))
    , timedOut(std::move(timedOut))
{
}

LoadProbeRound::~LoadProbeRound()
{
    for (const auto &[call, pending] : this->calls) {
        this->timers.cancel(pending.timeout);
    }
}

bool LoadProbeRound::begin(CallId call, const std::vector<UpstreamInfo> &upstreams)
{
    PendingCall pending;
    for (const UpstreamInfo &upstream : upstreams) {
        if (this->sendProbe(upstream)) {
            this->openProbes[upstream.id].push_back(call);
            pending.probed.insert(upstream.id);
        }
    }
    if (pending.probed.empty()) {
        return false;
    }
    pending.timeout = this->timers.once(this->clock.now() + MaxWait,
                                        [this, call](TimePoint) { this->expire(call); });
    this->calls.emplace(call, std::move(pending));
    return true;
}

bool LoadProbeRound::sendProbe(const UpstreamInfo &upstream)
{
    return this->openProbes.contains(upstream.id)
        || this->output.startProbe(ProbeOrder{upstream, LoadProbeTimeout, true});
}

void LoadProbeRound::loadProbeEnded(const UpstreamId &id, bool decisive)
{
    const auto query = this->openProbes.extract(id);
    if (query.empty()) {
        return;
    }
    for (const CallId call : query.mapped()) {
        const auto found = this->calls.find(call);
        if (found == this->calls.end()) {
            continue;
        }
        found->second.probed.erase(id);
        if (decisive || found->second.probed.empty()) {
            this->complete(call);
        }
    }
}

void LoadProbeRound::cancel(CallId call)
{
    const auto found = this->calls.find(call);
    if (found != this->calls.end()) {
        this->timers.cancel(found->second.timeout);
        this->calls.erase(found);
    }
}

void LoadProbeRound::expire(CallId call)
{
    const std::set<UpstreamId> unanswered = this->calls.at(call).probed;
    for (const UpstreamId &id : unanswered) {
        this->timedOut(id);
    }
    this->complete(call);
}

void LoadProbeRound::complete(CallId call)
{
    this->cancel(call);
    this->ready(call);
}

} // namespace bronzeshed
