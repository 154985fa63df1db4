#include "routing/dispatcher.h"

namespace bronzeshed {

struct Dispatcher::Call
{
    CallId id;
    ClassTarget target;
    TimePoint deadline;
    TimerId expiry;
    unsigned attempts = 0;
    bool mayHaveRun = false; ///< an attempt ended with an unknown effect
    std::optional<AttemptId> running;
    bool queued = false;
    Reason lastReason = Reason::NoUpstream;
};

struct Dispatcher::Attempt
{
    CallId call;
    UpstreamId upstream;
};

Dispatcher::Dispatcher(const Clock &clock, Random &random, TimerService &timers,
                       DispatcherOutput &output, std::unique_ptr<SelectionPolicy> policy,
                       DispatcherOptions options)
    : clock(clock)
    , random(random)
    , timers(timers)
    , output(output)
    , policy(std::move(policy))
    , options(std::move(options))
{
}

Dispatcher::~Dispatcher() = default;

void Dispatcher::update(const Declaration &newDeclaration,
                        const std::vector<UpstreamInfo> &newUpstreams)
{
    this->declaration = newDeclaration;
    std::set<UpstreamId> listed;
    for (const UpstreamInfo &info : newUpstreams) {
        listed.insert(info.id);
        UpstreamView &view = this->upstreams[info.id];
        if (view.info.endpoint != info.endpoint) {
            // A replaced server under the same id starts without the history of the old one.
            view.draining = false;
            view.serviceTime.reset();
        }
        view.info = info;
        view.slots = this->options.slotsPerUpstream;
        view.sameZone = info.zone == this->options.zone;
        view.sameRegion = info.region == this->options.region;
    }
    std::erase_if(this->upstreams, [&](const auto &entry) {
        return !listed.contains(entry.first) && entry.second.outstanding == 0;
    });
    for (auto &[id, view] : this->upstreams) {
        view.info.leaving = view.info.leaving || !listed.contains(id);
    }
    for (const ServiceName &service : this->declaration.services) {
        this->startWaiting(service);
    }
}

void Dispatcher::admit(const CallRequest &request)
{
    const auto target = this->declaration.classes.find(request.className);
    if (target == this->declaration.classes.end()) {
        const bool configured = !this->declaration.classes.empty();
        this->output.finishCall(request.id, configured ? Outcome::Invalid : Outcome::NotRun,
                                configured ? Reason::UnknownClass : Reason::NoConfiguration, {});
        return;
    }
    if (this->calls.size() >= this->options.maxCalls) {
        this->output.finishCall(request.id, Outcome::NotRun, Reason::QueueFull, {});
        return;
    }
    auto owned = std::make_unique<Call>();
    Call &call = *owned;
    call.id = request.id;
    call.target = target->second;
    call.deadline = this->clock.now() + request.timeLeft;
    call.expiry
        = this->timers.once(call.deadline, [this, id = call.id](TimePoint) { this->expire(id); });
    this->calls.emplace(call.id, std::move(owned));
    call.queued = true;
    this->queues[call.target.service].emplace(call.deadline, call.id);
    this->startWaiting(call.target.service);
}

std::vector<UpstreamView *> Dispatcher::candidates(const ServiceName &service)
{
    std::vector<UpstreamView *> result;
    for (auto &[id, view] : this->upstreams) {
        if (view.info.service == service && !view.info.leaving && !view.draining) {
            result.push_back(&view);
        }
    }
    return result;
}

void Dispatcher::startWaiting(const ServiceName &service)
{
    auto &queue = this->queues[service];
    while (!queue.empty()) {
        Call &call = *this->calls.at(queue.begin()->second);
        if (!this->startAttempt(call)) {
            return;
        }
    }
}

bool Dispatcher::startAttempt(Call &call)
{
    UpstreamView *view = this->policy->choose(this->candidates(call.target.service), this->random);
    if (view == nullptr) {
        return false;
    }
    this->queues[call.target.service].erase(QueueKey(call.deadline, call.id));
    call.queued = false;
    this->lastAttempt = this->lastAttempt.next();
    call.running = this->lastAttempt;
    ++call.attempts;
    ++view->outstanding;
    this->attempts.emplace(this->lastAttempt, Attempt{call.id, view->info.id});
    AttemptOrder order;
    order.call = call.id;
    order.attempt = this->lastAttempt;
    order.upstream = view->info;
    order.timeout = call.deadline - this->clock.now();
    order.idempotent = call.target.repeatable;
    this->output.startAttempt(order);
    return true;
}

void Dispatcher::attemptEnded(AttemptId id, const AttemptReport &report)
{
    const auto found = this->attempts.find(id);
    if (found == this->attempts.end()) {
        return;
    }
    const Attempt attempt = found->second;
    this->attempts.erase(found);
    ServiceName service;
    const auto upstream = this->upstreams.find(attempt.upstream);
    if (upstream != this->upstreams.end()) {
        UpstreamView &view = upstream->second;
        service = view.info.service;
        --view.outstanding;
        view.draining = view.draining || report.draining;
        view.reportedLoad = report.load;
    }
    const auto call = this->calls.find(attempt.call);
    if (call != this->calls.end()) {
        call->second->running.reset();
        if (report.status == AttemptStatus::Answered) {
            this->finish(*call->second, Outcome::Answered, Reason::None, id);
        } else {
            this->handleFailure(*call->second, report);
        }
    }
    this->startWaiting(service);
}

void Dispatcher::handleFailure(Call &call, const AttemptReport &report)
{
    constexpr unsigned MaxAttempts = 3;
    const bool didNotRun
        = report.status == AttemptStatus::NotSent || report.status == AttemptStatus::NotStarted;
    if (report.status == AttemptStatus::NotSent) {
        call.lastReason = Reason::UpstreamUnreachable;
    } else if (report.status == AttemptStatus::NotStarted) {
        call.lastReason = Reason::UpstreamRefused;
    } else {
        call.mayHaveRun = true;
        call.lastReason = report.status == AttemptStatus::TimedOut ? Reason::UpstreamTimedOut
                                                                   : Reason::UpstreamFailed;
    }
    const bool mayRetry = (didNotRun && !call.mayHaveRun) || call.target.repeatable;
    if (!mayRetry || call.attempts >= MaxAttempts || this->clock.now() >= call.deadline) {
        this->finish(call, call.mayHaveRun ? Outcome::Unknown : Outcome::NotRun, call.lastReason,
                     {});
        return;
    }
    call.queued = true;
    this->queues[call.target.service].emplace(call.deadline, call.id);
}

void Dispatcher::expire(CallId id)
{
    const auto found = this->calls.find(id);
    if (found == this->calls.end()) {
        return;
    }
    Call &call = *found->second;
    if (call.running) {
        // The attempt's own timeout is the same deadline; its end decides the outcome.
        this->output.cancelAttempt(*call.running);
        call.mayHaveRun = true;
    }
    this->finish(call, call.mayHaveRun ? Outcome::Unknown : Outcome::NotRun,
                 call.mayHaveRun ? Reason::UpstreamTimedOut : Reason::DeadlinePassed, {});
}

void Dispatcher::callerLeft(CallId id)
{
    const auto found = this->calls.find(id);
    if (found == this->calls.end()) {
        return;
    }
    Call &call = *found->second;
    if (call.running) {
        this->output.cancelAttempt(*call.running);
        call.mayHaveRun = true;
    }
    this->finish(call, call.mayHaveRun ? Outcome::Unknown : Outcome::NotRun, Reason::CallerLeft,
                 {});
}

void Dispatcher::finish(Call &call, Outcome outcome, Reason reason, AttemptId winner)
{
    const CallId id = call.id;
    this->timers.cancel(call.expiry);
    if (call.queued) {
        this->queues[call.target.service].erase(QueueKey(call.deadline, id));
    }
    this->calls.erase(id);
    this->output.finishCall(id, outcome, reason, winner);
}

std::size_t Dispatcher::queuedCalls() const
{
    std::size_t total = 0;
    for (const auto &[service, queue] : this->queues) {
        total += queue.size();
    }
    return total;
}

} // namespace bronzeshed
