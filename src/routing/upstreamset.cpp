#include "routing/upstreamset.h"

#include <algorithm>
#include <set>

namespace bronzeshed {

namespace {

/** Slow start ends after MinSlowStart and MinSlowStartAnswers, or after MaxSlowStart. */
constexpr std::chrono::seconds MinSlowStart{1};
constexpr std::chrono::seconds MaxSlowStart{10};
constexpr unsigned MinSlowStartAnswers = 20;
/** A new time has a weight of 1/10 in the smoothed service time of an upstream. */
constexpr int Smoothing = 10;
/** An upstream is slow if its smoothed time exceeds this multiple of the mean of its service. With
 * exponentially distributed times, this happens by chance less than once in 1,000 s. */
constexpr int SlowFactor = 2;
constexpr unsigned MinSamples = 10;
/** A slow upstream without newer samples gets normal work again. Otherwise it could stay
 * classified as slow indefinitely. */
constexpr std::chrono::seconds MaxSampleAge{1};
constexpr std::chrono::milliseconds ProbeTimeout{500};
/** Delay before the next check if a stale control state prevents a readmission. */
constexpr std::chrono::seconds StaleStateRetryDelay{1};

bool isUsable(const UpstreamView &view, const UpstreamHealth &health)
{
    const auto state = health.state();
    return !view.info.leaving && !view.draining
        && (state == UpstreamHealth::State::Usable || state == UpstreamHealth::State::Trial);
}

} // namespace

UpstreamSet::UpstreamSet(const Clock &clock, TimerService &timers, DispatcherOutput &output,
                         const DispatcherOptions &options, UsableCallback becameUsable)
    : clock(clock)
    , timers(timers)
    , output(output)
    , options(options)
    , becameUsable(std::move(becameUsable))
    , budget(clock.now())
{
}

UpstreamSet::~UpstreamSet()
{
    for (const auto &[id, upstream] : this->upstreams) {
        this->timers.cancel(upstream.timer);
    }
}

void UpstreamSet::update(const std::vector<UpstreamInfo> &listed, const MeasuringBudget &newBudget)
{
    this->budget.configure(newBudget, this->clock.now());
    std::set<UpstreamId> ids;
    for (const UpstreamInfo &info : listed) {
        ids.insert(info.id);
        const auto [found, isNew] = this->upstreams.try_emplace(info.id);
        Upstream &upstream = found->second;
        const bool restarted = upstream.view.info.startedAtMs != info.startedAtMs;
        if (isNew || restarted || upstream.view.info.endpoint != info.endpoint) {
            // Slow start is useful only if the service has other upstreams.
            const bool slowStart = this->options.sharedUpstreams
                ? info.warmingUp
                : this->byService.contains(info.service);
            this->resetUpstream(upstream, info, slowStart);
        }
        // An upstream that is no longer listed as leaving has also stopped draining.
        const bool returned = upstream.view.info.leaving && !info.leaving;
        upstream.view.draining = upstream.view.draining && !returned;
        upstream.view.info = info;
        upstream.view.sameZone = info.zone == this->options.zone;
        upstream.view.sameRegion = info.region == this->options.region;
        this->budget.track(info.id, this->options.slotsPerUpstream, this->clock.now());
    }
    std::erase_if(this->upstreams, [&](const auto &entry) {
        const bool removed = !ids.contains(entry.first) && entry.second.view.outstanding == 0;
        if (removed) {
            this->timers.cancel(entry.second.timer);
            this->budget.untrack(entry.first);
        }
        return removed;
    });
    this->byService.clear();
    for (auto &[id, upstream] : this->upstreams) {
        upstream.view.info.leaving = upstream.view.info.leaving || !ids.contains(id);
        this->byService[upstream.view.info.service].push_back(&upstream);
    }
}

void UpstreamSet::resetUpstream(Upstream &upstream, const UpstreamInfo &info, bool slowStart)
{
    // An upstream replaced under the same id starts without the state of its predecessor.
    this->timers.cancel(upstream.timer);
    upstream = Upstream();
    upstream.view.info = info;
    upstream.generation = ++this->lastGeneration;
    upstream.view.cold = slowStart;
    upstream.slowStartSince = this->clock.now();
}

void UpstreamSet::updateView(Upstream &upstream, std::optional<Duration> mean) const
{
    UpstreamView &view = upstream.view;
    const TimePoint now = this->clock.now();
    const Duration age = now - upstream.slowStartSince;
    const bool warm = age >= MinSlowStart && upstream.answers >= MinSlowStartAnswers;
    view.cold = view.cold && !warm && age < MaxSlowStart;
    if (this->options.sharedUpstreams) {
        view.cold = view.info.warmingUp && age < MaxSlowStart;
    }
    const bool sampled = upstream.samples >= MinSamples && now - upstream.sampledAt <= MaxSampleAge;
    view.slow = sampled && view.sameRegion && mean && *view.serviceTime > *mean * SlowFactor;
    view.trial = upstream.health.state() == UpstreamHealth::State::Trial;
    view.slots = view.info.slots > 0 ? view.info.slots : this->options.slotsPerUpstream;
    if (this->options.sharedUpstreams) {
        return;
    }
    if (view.cold || view.slow || !view.sameRegion) {
        // The other slots of an upstream in another region are reserved for the owner entry there.
        view.slots = std::max(1U, view.slots / 2);
    }
    if (view.trial) {
        view.slots = 1;
    }
}

std::vector<UpstreamView *> UpstreamSet::candidates(const ServiceName &service,
                                                    std::optional<Duration> mean, bool overloaded)
{
    std::vector<UpstreamView *> own;
    std::vector<UpstreamView *> all;
    const auto found = this->byService.find(service);
    if (found == this->byService.end()) {
        return own;
    }
    for (Upstream *upstream : found->second) {
        if (!isUsable(upstream->view, upstream->health)) {
            continue;
        }
        this->updateView(*upstream, mean);
        all.push_back(&upstream->view);
        if (upstream->view.sameRegion) {
            own.push_back(&upstream->view);
        }
    }
    return own.empty() || overloaded ? all : own;
}

AttemptPlacement UpstreamSet::startAttempt(UpstreamView &view)
{
    Upstream &upstream = this->upstreams.at(view.info.id);
    AttemptPlacement placement{view.info.id, upstream.generation, this->clock.now(), std::nullopt};
    if (!this->options.sharedUpstreams && !view.hasFreeSlot()) {
        placement.queued = upstream.queued.add();
    }
    ++view.outstanding;
    ++view.startedSinceReport;
    return placement;
}

TimePoint UpstreamSet::serviceStart(Upstream &upstream, const AttemptPlacement &placement) const
{
    if (!placement.queued) {
        return placement.startedAt;
    }
    // If the upstream has more slots than reported, the attempt may have started immediately.
    return upstream.queued.remove(*placement.queued).value_or(placement.startedAt);
}

std::optional<Duration> UpstreamSet::attemptEnded(const AttemptPlacement &placement,
                                                  const AttemptReport &report,
                                                  Duration answerWithin)
{
    const auto found = this->upstreams.find(placement.upstream);
    if (found == this->upstreams.end() || found->second.generation != placement.generation) {
        return std::nullopt;
    }
    Upstream &upstream = found->second;
    UpstreamView &view = upstream.view;
    --view.outstanding;
    --view.startedSinceReport;
    view.draining = view.draining || report.draining;
    if (report.load) {
        this->recordLoad(view, *report.load);
    }
    const TimePoint now = this->clock.now();
    const Duration time = now - this->serviceStart(upstream, placement);
    upstream.queued.slotFreed(now);
    if (placement.queued && report.status == AttemptStatus::NotStarted && !report.draining) {
        // An upstream without a queue refuses calls when all slots are in use. This is no failure.
        view.hasQueue = false;
        return std::nullopt;
    }
    const bool longer = !view.serviceTime || time > *view.serviceTime;
    if (report.isSuccess() || (report.status == AttemptStatus::Cancelled && longer)) {
        // The service time of a cancelled attempt is at least the elapsed time.
        this->recordTime(upstream, time);
    }
    this->recordOutcome(upstream, report, now - placement.startedAt >= answerWithin);
    return time;
}

void UpstreamSet::recordLoad(UpstreamView &view, const LoadReport &load) const
{
    view.reportedLoad = load.running;
    view.load = load;
    view.loadReceivedAt = this->clock.now();
    view.startedSinceReport = 0;
    view.unresponsiveAt.reset();
}

UpstreamView *UpstreamSet::loadReported(const UpstreamId &id, const std::optional<LoadReport> &load)
{
    const auto found = this->upstreams.find(id);
    if (found == this->upstreams.end()) {
        return nullptr;
    }
    UpstreamView &view = found->second.view;
    if (load) {
        this->recordLoad(view, *load);
    } else {
        view.unresponsiveAt = this->clock.now();
    }
    return &view;
}

std::size_t UpstreamSet::usedSlots() const
{
    std::size_t used = 0;
    for (const auto &[id, upstream] : this->upstreams) {
        used += upstream.view.outstanding;
    }
    return used;
}

void UpstreamSet::recordTime(Upstream &upstream, Duration time)
{
    std::optional<Duration> &smoothed = upstream.view.serviceTime;
    smoothed = smoothed ? *smoothed + (time - *smoothed) / Smoothing : time;
    ++upstream.samples;
    upstream.sampledAt = this->clock.now();
}

void UpstreamSet::recordOutcome(Upstream &upstream, const AttemptReport &report, bool ranLate)
{
    switch (report.status) {
    case AttemptStatus::Answered:
        if (report.isSuccess()) {
            this->recordSuccess(upstream);
        } else {
            this->recordFailure(upstream);
        }
        return;
    case AttemptStatus::NotStarted: {
        // A refusal by a fully loaded shared upstream is not a failure.
        const bool full = this->options.sharedUpstreams && report.load && report.load->waiting > 0;
        if (!report.draining && !full) {
            this->recordFailure(upstream);
        }
        return;
    }
    case AttemptStatus::TimedOut:
    case AttemptStatus::Cancelled:
        // A timeout caused by a short deadline is no failure of the upstream, but a trial call
        // without an answer does not readmit it.
        if (ranLate || upstream.health.state() == UpstreamHealth::State::Trial) {
            this->recordFailure(upstream);
        }
        return;
    case AttemptStatus::NotSent:
    case AttemptStatus::Failed:
        this->recordFailure(upstream);
        return;
    }
}

void UpstreamSet::recordSuccess(Upstream &upstream)
{
    ++upstream.answers;
    if (upstream.health.recordSuccess()) {
        upstream.view.cold = true;
        upstream.slowStartSince = this->clock.now();
        upstream.answers = 0;
        upstream.probeFailed = false;
    }
}

void UpstreamSet::recordFailure(Upstream &upstream)
{
    if (upstream.health.recordFailure()) {
        this->scheduleReadmission(upstream, upstream.health.ejectionTime());
    }
}

void UpstreamSet::scheduleReadmission(Upstream &upstream, Duration delay)
{
    this->timers.cancel(upstream.timer);
    upstream.timer = this->timers.once(
        this->clock.now() + delay,
        [this, id = upstream.view.info.id](TimePoint) { this->endEjection(id); });
}

void UpstreamSet::endEjection(const UpstreamId &id)
{
    Upstream &upstream = this->upstreams.at(id);
    if (!this->probingAllowed) {
        this->scheduleReadmission(upstream, StaleStateRetryDelay);
        return;
    }
    // Health endpoints can report wrongly in both directions. After a failed probe, the next
    // readmission is decided by a trial call alone.
    if (!upstream.probeFailed && this->startProbe(upstream)) {
        return;
    }
    upstream.health.allowTrial();
    this->becameUsable(upstream.view.info.service);
}

bool UpstreamSet::startProbe(Upstream &upstream)
{
    const UpstreamView &view = upstream.view;
    if (view.info.leaving || view.draining
        || !this->budget.trySpend(view.info.id, this->clock.now())) {
        return false;
    }
    if (!this->output.startProbe(ProbeOrder{view.info, ProbeTimeout, false})) {
        return false;
    }
    upstream.health.beginProbe();
    upstream.timer
        = this->timers.once(this->clock.now() + ProbeTimeout,
                            [this, id = view.info.id](TimePoint) { this->probeEnded(id, false); });
    return true;
}

void UpstreamSet::probeEnded(const UpstreamId &id, bool healthy)
{
    const auto found = this->upstreams.find(id);
    if (found == this->upstreams.end()
        || found->second.health.state() != UpstreamHealth::State::Probing) {
        return;
    }
    Upstream &upstream = found->second;
    this->timers.cancel(upstream.timer);
    if (!healthy) {
        upstream.probeFailed = true;
        upstream.health.prolongEjection();
        this->scheduleReadmission(upstream, upstream.health.ejectionTime());
        return;
    }
    upstream.health.allowTrial();
    this->becameUsable(upstream.view.info.service);
}

} // namespace bronzeshed
