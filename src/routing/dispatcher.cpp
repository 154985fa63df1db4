#include "routing/dispatcher.h"

#include "routing/opencall.h"
#include "routing/queueestimate.h"
#include "routing/sharedupstreampolicy.h"

#include <algorithm>

namespace bronzeshed {

namespace {

constexpr double RetryShare = 0.1; ///< retries per call of a class
constexpr double HedgeShare = 0.05; ///< hedges per call of a class
/** One initial permit lets a rarely called class retry after its upstream closed a connection. */
constexpr double InitialRetries = 1;
constexpr double HedgeQuantile = 0.95;

/** Removes the views that do not satisfy @p wanted, unless none does. */
template<typename Condition>
void prefer(std::vector<UpstreamView *> &views, Condition wanted)
{
    if (std::any_of(views.begin(), views.end(), wanted)) {
        std::erase_if(views, [&](UpstreamView *view) { return !wanted(view); });
    }
}

bool wasTried(const OpenCall &call, const UpstreamView &view)
{
    return std::find(call.tried.begin(), call.tried.end(), view.info.id) != call.tried.end();
}

} // namespace

Dispatcher::Dispatcher(const Clock &clock, Random &random, TimerService &timers,
                       DispatcherOutput &output, std::unique_ptr<SelectionPolicy> policy,
                       DispatcherOptions options)
    : clock(clock)
    , random(random)
    , timers(timers)
    , output(output)
    , policy(std::move(policy))
    , options(std::move(options))
    , upstreams(clock, timers, output, this->options,
                [this](const ServiceName &service) { this->startQueuedCalls(service); })
    , hedgeTimer(timers, [this](CallId id) { this->startHedge(id); })
    , loadProbeRound(
          clock, timers, output, [this](CallId id) { this->placeAfterLoadProbes(id); },
          [this](const UpstreamId &id) { this->upstreams.loadReported(id, std::nullopt); })
{
}

Dispatcher::~Dispatcher()
{
    for (const auto &[id, call] : this->calls) {
        this->timers.cancel(call->expiry);
    }
}

void Dispatcher::update(const Declaration &newDeclaration,
                        const std::vector<UpstreamInfo> &newUpstreams)
{
    this->declaration = newDeclaration;
    this->repeatableServices.clear();
    for (const auto &[name, target] : this->declaration.classes) {
        if (target.repeatable) {
            this->repeatableServices.insert(target.service);
        }
    }
    this->upstreams.update(newUpstreams, this->declaration.measuring);
    for (const auto &[service, state] : this->services) {
        this->startQueuedCalls(service);
    }
}

void Dispatcher::setDispatchAllowed(bool allowed)
{
    if (allowed == this->dispatchAllowed) {
        return;
    }
    this->dispatchAllowed = allowed;
    this->upstreams.setProbingAllowed(allowed);
    for (const auto &[service, state] : this->services) {
        this->startQueuedCalls(service);
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
    const Reason refusal = this->checkLoad(target->second, request);
    if (refusal != Reason::None) {
        this->output.finishCall(request.id, Outcome::NotRun, refusal, {});
        return;
    }
    auto owned = std::make_unique<OpenCall>();
    OpenCall &call = *owned;
    call.id = request.id;
    call.target = target->second;
    call.target.service = this->selectService(target->second);
    call.arrival = this->clock.now() - request.waited;
    call.deadline = this->clock.now() + request.timeLeft;
    call.expiry
        = this->timers.once(call.deadline, [this, id = call.id](TimePoint) { this->expire(id); });
    this->calls.emplace(call.id, std::move(owned));
    this->enqueue(call);
    this->startQueuedCalls(call.target.service);
}

Reason Dispatcher::checkLoad(const ClassTarget &target, const CallRequest &request)
{
    if (this->calls.size() >= this->options.maxCalls) {
        return Reason::QueueFull;
    }
    if (this->options.sharedUpstreams) {
        // The load of shared upstreams is available only after load probes.
        this->checkRepeat(target, request.attempt);
        return request.timeLeft > Duration::zero() ? Reason::None : Reason::DeadlineTooShort;
    }
    const Service &service = this->services[target.service];
    const std::vector<UpstreamView *> views = this->usableUpstreams(target.service);
    const QueueEstimate estimate(service.queue, service.times, countSlots(views),
                                 countWaiting(views));
    const Reason expectedDelayRefusal
        = estimate.refusal(target, request.timeLeft, this->clock.now());
    if (expectedDelayRefusal != Reason::None) {
        return expectedDelayRefusal;
    }
    return this->checkRepeat(target, request.attempt) ? Reason::None : Reason::Overloaded;
}

bool Dispatcher::checkRepeat(const ClassTarget &target, unsigned attempt)
{
    ClassBudgets &budget = this->budgetsOf(target.name);
    if (attempt == 0) {
        budget.retries.deposit();
        budget.hedges.deposit();
        return true;
    }
    if (budget.retries.trySpend()) {
        return true;
    }
    // After an entry failed, all of its callers repeat their calls here. Repeats that use free
    // slots do not delay other calls.
    const auto views = this->usableUpstreams(target.service);
    return this->services[target.service].queue.isEmpty()
        && std::any_of(views.begin(), views.end(),
                       [](const UpstreamView *view) { return view->hasFreeSlot(); });
}

Dispatcher::ClassBudgets &Dispatcher::budgetsOf(const ClassName &name)
{
    const ClassBudgets initial{CallBudget(RetryShare, InitialRetries, this->repeatBurst),
                               CallBudget(HedgeShare, 0, this->repeatBurst)};
    return this->budgets.try_emplace(name, initial).first->second;
}

void Dispatcher::enqueue(OpenCall &call)
{
    call.queued = true;
    this->services[call.target.service].queue.push(call.target.name, call.deadline, call.id);
}

std::vector<UpstreamView *> Dispatcher::usableUpstreams(const ServiceName &service)
{
    const Service &state = this->services[service];
    const std::optional<Duration> mean = state.times.mean();
    auto views = this->upstreams.candidates(service, mean, false);
    const QueueEstimate estimate(state.queue, state.times, countSlots(views), countWaiting(views));
    if (!estimate.isOverloaded()) {
        return views;
    }
    return this->upstreams.candidates(service, mean, true);
}

std::vector<UpstreamView *> Dispatcher::candidates(const OpenCall &call)
{
    auto views = this->usableUpstreams(call.target.service);
    if (!call.target.repeatable && this->repeatableServices.contains(call.target.service)) {
        // A failed trial call may have an unknown outcome, so repeatable calls are used for trials.
        prefer(views, [](const UpstreamView *view) { return !view->trial; });
    }
    prefer(views, [&](const UpstreamView *view) { return !wasTried(call, *view); });
    return views;
}

void Dispatcher::startQueuedCalls(const ServiceName &service)
{
    const auto found = this->services.find(service);
    while (this->dispatchAllowed && found != this->services.end()) {
        const auto next = found->second.queue.next();
        if (!next) {
            return;
        }
        OpenCall &call = *this->calls.at(*next);
        if (call.deadline <= this->clock.now()) {
            this->expire(call.id);
        } else if (!this->tryStartQueuedCall(call)) {
            return;
        }
    }
}

bool Dispatcher::tryStartQueuedCall(OpenCall &call)
{
    if (this->options.sharedUpstreams) {
        this->services[call.target.service].queue.start(call.target.name, call.deadline, call.id);
        call.queued = false;
        if (!this->startLoadProbes(call)) {
            this->place(call);
        }
        return true;
    }
    const std::vector<UpstreamView *> views = this->candidates(call);
    UpstreamView *view = this->policy->choose(views, this->random);
    if (view == nullptr) {
        view = this->policy->chooseForQueueing(views, this->random);
    }
    if (view == nullptr) {
        return false;
    }
    call.queued = false;
    this->services[call.target.service].queue.start(call.target.name, call.deadline, call.id);
    this->startAttempt(call, *view, false);
    this->armHedge(call, *view);
    return true;
}

void Dispatcher::setRepeatBurst(double permits)
{
    this->repeatBurst = permits;
    for (auto &[name, budget] : this->budgets) {
        budget.retries.setMaximum(permits);
        budget.hedges.setMaximum(permits);
    }
}

void Dispatcher::startAttempt(OpenCall &call, UpstreamView &view, bool hedge)
{
    this->lastAttempt = this->lastAttempt.next();
    call.running.push_back(this->lastAttempt);
    call.tried.push_back(view.info.id);
    ++call.attempts;
    OpenAttempt attempt;
    attempt.call = call.id;
    attempt.service = call.target.service;
    attempt.className = call.target.name;
    attempt.answerWithin = call.target.answerWithin;
    if (this->options.sharedUpstreams
        && SharedUpstreamPolicy::hasCurrentReport(view, this->clock.now())) {
        attempt.slowdown = SharedUpstreamPolicy::slowdown(view, this->clock.now());
    }
    attempt.ownRegion = view.sameRegion;
    attempt.placement = this->upstreams.startAttempt(view);
    this->attempts.emplace(this->lastAttempt, attempt);
    AttemptOrder order;
    order.call = call.id;
    order.attempt = this->lastAttempt;
    order.upstream = view.info;
    order.timeout = call.deadline - this->clock.now();
    order.idempotent = call.target.repeatable;
    order.hedge = hedge;
    order.retry = !hedge && call.attempts > 1;
    order.load = view.load;
    order.loadAge = view.load ? this->clock.now() - view.loadReceivedAt : Duration::zero();
    this->output.startAttempt(order);
}

void Dispatcher::armHedge(const OpenCall &call, const UpstreamView &view)
{
    const auto delay = this->services[call.target.service].times.quantile(HedgeQuantile);
    // The quantile covers calls in the own region only. Calls to other regions always exceed it.
    if (call.target.repeatable && call.attempts == 1 && view.sameRegion && delay) {
        this->hedgeTimer.arm(call.id, this->clock.now() + *delay);
    }
}

void Dispatcher::startHedge(CallId id)
{
    const auto found = this->calls.find(id);
    if (found == this->calls.end() || !this->dispatchAllowed) {
        return;
    }
    OpenCall &call = *found->second;
    if (call.running.size() != 1 || call.attempts >= call.target.maxAttempts
        || !this->services[call.target.service].queue.isEmpty()) {
        return;
    }
    auto views = this->candidates(call);
    std::erase_if(views, [&](const UpstreamView *view) {
        return !view->hasFreeSlot() || view->trial || view->slow || !view->sameRegion
            || wasTried(call, *view);
    });
    UpstreamView *view = this->policy->choose(views, this->random);
    if (view != nullptr && this->budgetsOf(call.target.name).hedges.trySpend()) {
        this->startAttempt(call, *view, true);
    }
}

void Dispatcher::attemptEnded(AttemptId id, const AttemptReport &report)
{
    const auto found = this->attempts.find(id);
    if (found == this->attempts.end()) {
        return;
    }
    const OpenAttempt attempt = found->second;
    this->attempts.erase(found);
    const TimePoint now = this->clock.now();
    const auto time = this->upstreams.attemptEnded(attempt.placement, report, attempt.answerWithin);
    if (time && report.isSuccess() && attempt.ownRegion) {
        this->services[attempt.service].times.record(*time, now);
        if (attempt.slowdown > 0) {
            this->workTimes.record(attempt.className, *time, attempt.slowdown);
        }
    }
    const auto call = this->calls.find(attempt.call);
    if (call != this->calls.end()) {
        std::erase(call->second->running, id);
        if (report.status == AttemptStatus::Answered) {
            this->handleAnswer(*call->second, id, report);
        } else {
            const bool queuedAtUpstream = attempt.placement.queued.has_value();
            this->attemptFailed(*call->second, report, queuedAtUpstream);
        }
    }
    this->startQueuedCalls(attempt.service);
}

void Dispatcher::handleAnswer(OpenCall &call, AttemptId id, const AttemptReport &report)
{
    const bool isFinal
        = report.isSuccess() || !this->options.retryServerErrors || !call.target.repeatable;
    if (isFinal || (call.running.empty() && !this->spendRetry(call))) {
        this->finish(call, Outcome::Answered, Reason::None, id);
        return;
    }
    call.mayHaveRun = true;
    call.lastReason = Reason::UpstreamFailed;
    if (call.running.empty()) {
        this->enqueue(call);
    }
}

bool Dispatcher::spendRetry(const OpenCall &call)
{
    return call.attempts < call.target.maxAttempts && this->clock.now() < call.deadline
        && this->budgetsOf(call.target.name).retries.trySpend();
}

void Dispatcher::attemptFailed(OpenCall &call, const AttemptReport &report, bool queuedAtUpstream)
{
    if (queuedAtUpstream && report.status == AttemptStatus::NotStarted && call.running.empty()) {
        // The upstream has no queue. The call is queued again, and the attempt is not counted.
        --call.attempts;
        call.tried.pop_back();
        this->enqueue(call);
        return;
    }
    if (report.status == AttemptStatus::NotSent) {
        call.lastReason = Reason::UpstreamUnreachable;
    } else if (report.status == AttemptStatus::NotStarted) {
        call.lastReason = Reason::UpstreamRefused;
    } else {
        call.mayHaveRun = true;
        call.lastReason = report.status == AttemptStatus::TimedOut ? Reason::UpstreamTimedOut
                                                                   : Reason::UpstreamFailed;
    }
    if (!call.running.empty()) {
        // The other attempt of a hedged call may still be answered.
        return;
    }
    const bool mayRepeat = call.target.repeatable || !call.mayHaveRun;
    if (!mayRepeat || !this->spendRetry(call)) {
        this->finish(call, call.mayHaveRun ? Outcome::Unknown : Outcome::NotRun, call.lastReason,
                     {});
        return;
    }
    this->enqueue(call);
}

void Dispatcher::probeEnded(const UpstreamId &id, bool healthy,
                            const std::optional<LoadReport> &load)
{
    this->upstreams.probeEnded(id, healthy);
    if (!this->options.sharedUpstreams) {
        return;
    }
    const UpstreamView *view = this->upstreams.loadReported(id, load);
    const bool ideal = view != nullptr && SharedUpstreamPolicy::isIdeal(*view, this->clock.now());
    this->loadProbeRound.loadProbeEnded(id, ideal);
}

void Dispatcher::expire(CallId id)
{
    const auto found = this->calls.find(id);
    if (found == this->calls.end()) {
        return;
    }
    OpenCall &call = *found->second;
    const bool reachable = !this->usableUpstreams(call.target.service).empty();
    Reason reason = reachable ? Reason::DeadlinePassed : Reason::NoUpstream;
    if (!call.running.empty() || call.mayHaveRun) {
        reason = Reason::UpstreamTimedOut;
    }
    this->abandon(call, reason);
}

void Dispatcher::callerLeft(CallId id)
{
    const auto found = this->calls.find(id);
    if (found != this->calls.end()) {
        this->abandon(*found->second, Reason::CallerLeft);
    }
}

void Dispatcher::abandon(OpenCall &call, Reason reason)
{
    const bool mayHaveRun = call.mayHaveRun || !call.running.empty();
    this->finish(call, mayHaveRun ? Outcome::Unknown : Outcome::NotRun, reason, {});
}

void Dispatcher::finish(OpenCall &call, Outcome outcome, Reason reason, AttemptId winner)
{
    const CallId id = call.id;
    this->timers.cancel(call.expiry);
    this->hedgeTimer.cancel(id);
    this->loadProbeRound.cancel(id);
    if (call.queued) {
        this->services[call.target.service].queue.erase(call.target.name, call.deadline, id);
    }
    // Cancelled attempts free their slots when their ends are reported.
    for (const AttemptId running : call.running) {
        this->output.cancelAttempt(running);
    }
    this->calls.erase(id);
    this->output.finishCall(id, outcome, reason, winner);
}

std::size_t Dispatcher::queuedCalls() const
{
    std::size_t total = 0;
    for (const auto &[service, state] : this->services) {
        total += state.queue.size();
    }
    return total;
}

} // namespace bronzeshed
