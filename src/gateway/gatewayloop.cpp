#include "gateway/gatewayloop.h"

#include "base/logline.h"
#include "entry/callresponse.h"
#include "platform/wireheaders.h"
#include "routing/sharedupstreampolicy.h"

namespace bronzeshed {

namespace {

constexpr std::chrono::milliseconds MaxSleep{1000};
/** Work times change slowly, so they are published seldom. */
constexpr std::chrono::seconds WorkTimeReportPeriod{2};
/** Typical interval at which a slot of a full service becomes free. */
constexpr std::chrono::milliseconds RetryDelay{50};
/** Time in which an instance that has just started usually reads the configuration. */
constexpr std::chrono::milliseconds UnconfiguredDelay{100};
/** Other instances can serve the request at once. */
constexpr std::chrono::milliseconds DrainingDelay{10};

/**
 * Creates a refusal without the Bronzeshed-Remedy header. The remedies rely on the ledger, which
 * the gateway lacks: the repeat of a call with unknown outcome may run it again.
 */
HttpResponse makeGatewayRefusal(Outcome outcome, Reason reason)
{
    HttpResponse response = makeRefusal(outcome, reason);
    response.headers.remove("Bronzeshed-Remedy");
    response.body = std::string(reasonName(reason)) + "\n";
    return response;
}

std::chrono::milliseconds retryDelay(Reason reason)
{
    if (reason == Reason::Draining) {
        return DrainingDelay;
    }
    return reason == Reason::NoConfiguration ? UnconfiguredDelay : RetryDelay;
}

} // namespace

GatewayLoop::GatewayLoop(const GatewayLoopOptions &options, const GatewayPorts &ports)
    : options(options)
    , ports(ports)
    , random(makeSystemRandom())
    , dispatcher(this->clock, this->random, this->timers, *this,
                 std::make_unique<SharedUpstreamPolicy>(this->clock), options.dispatcher)
    , metrics(ports.metrics, this->clock, options.dispatcher.region, UnknownOutcomeRepeats::Unsafe)
    , log(this->clock)
    , drainAdmission(options.grace, options.lookupValidity)
{
    this->timers.every(this->clock.now(), WorkTimeReportPeriod,
                       [this](TimePoint) { this->reportWorkTimes(); });
}

void GatewayLoop::run()
{
    while (!this->stopping.load()) {
        this->applyPendingState();
        this->timers.fire(this->clock.now());
        bool busy = takeEvents(this->ports.attempts, [this](AttemptEvent event) {
            this->handleAttempt(std::move(event));
        });
        busy |= takeEvents(this->ports.probes,
                           [this](const ProbeEvent &event) { this->handleProbe(event); });
        busy |= takeEvents(this->ports.callers,
                           [this](CallerEvent event) { this->handleCaller(std::move(event)); });
        busy |= takeEvents(this->ports.disconnects,
                           [this](CallId id) { this->dispatcher.callerLeft(id); });
        this->openCallCount.store(this->calls.size());
        if (busy) {
            continue;
        }
        const TimePoint now = this->clock.now();
        const TimePoint wakeAt = this->timers.nextDue().value_or(now + MaxSleep);
        this->ports.wakeup.wait(std::min<Duration>(wakeAt - now, MaxSleep));
    }
}

void GatewayLoop::stop()
{
    this->stopping.store(true);
    this->ports.wakeup.notify();
}

TimePoint GatewayLoop::startDraining(TimePoint signalledAt)
{
    this->drainAdmission.begin(signalledAt);
    return this->drainAdmission.end();
}

void GatewayLoop::setState(FleetState newState)
{
    {
        const std::lock_guard lock(this->mailboxMutex);
        this->mailbox = std::move(newState);
    }
    this->ports.wakeup.notify();
}

void GatewayLoop::applyPendingState()
{
    std::optional<FleetState> newer;
    {
        const std::lock_guard lock(this->mailboxMutex);
        newer = std::exchange(this->mailbox, std::nullopt);
    }
    if (!newer) {
        return;
    }
    const bool newVersion = newer->version != this->state.version;
    if (newVersion) {
        LogLine("configuration_activated")
            .add("from", this->state.version.value())
            .add("to", newer->version.value());
    }
    this->state = std::move(*newer);
    if (!this->state.declaration) {
        return;
    }
    if (newVersion) {
        this->metrics.declarationChanged(*this->state.declaration);
    }
    const double entries = std::max<double>(1, static_cast<double>(this->state.members.size()));
    this->dispatcher.setRepeatBurst(std::max(1.0, this->options.fleetRepeatBurst / entries));
    this->dispatcher.setSharedWorkTimes(this->state.workTimes);
    this->dispatcher.update(*this->state.declaration, this->state.upstreams);
    this->configured.store(true);
}

void GatewayLoop::reportWorkTimes()
{
    this->ports.workTimesMeasured(this->dispatcher.ownWorkTimes());
}

void GatewayLoop::handleCaller(CallerEvent event)
{
    const CallerHeaders wireHeaders = readCallerHeaders(event.request);
    CallHeaders headers;
    headers.requestId = wireHeaders.requestId;
    if (!this->state.declaration) {
        this->refuse(event, headers, Outcome::NotRun, Reason::NoConfiguration);
        return;
    }
    const ClassName *route = this->state.declaration->routes.find(
        event.request.headers.find("Host").value_or(""), event.request.path());
    if (route == nullptr) {
        this->refuse(event, headers, Outcome::Invalid, Reason::UnknownClass);
        return;
    }
    headers.className = *route;
    if (headers.requestId.isEmpty()) {
        this->refuse(event, headers, Outcome::Invalid, Reason::MissingIdentity);
        return;
    }
    const ClassTarget *target = this->findTarget(*route);
    const Duration timeLimit = wireHeaders.timeLeft
        ? std::min(*wireHeaders.timeLeft, target->deadline)
        : target->deadline;
    const Duration timeLeft = timeLimit - (this->clock.now() - event.arrival);
    if (!this->drainAdmission.accepts(this->clock.now(), timeLeft, target->answerWithin)) {
        this->refuse(event, headers, Outcome::NotRun, Reason::Draining);
        return;
    }
    CallRequest request;
    request.id = event.id;
    request.className = *route;
    request.timeLeft = timeLeft;
    request.waited = this->clock.now() - event.arrival;
    OpenCall call;
    call.headers = std::move(headers);
    call.arrival = event.arrival;
    call.request = std::move(event.request);
    call.exchange = std::move(event.exchange);
    this->calls.emplace(request.id, std::move(call));
    this->dispatcher.admit(request);
}

void GatewayLoop::handleAttempt(AttemptEvent event)
{
    this->metrics.attemptEnded(event.attempt, event.report, event.response.body.size());
    const auto call = this->callOfAttempt.extract(event.attempt);
    const auto found = call.empty() ? this->calls.end() : this->calls.find(call.mapped());
    if (found != this->calls.end()) {
        this->log.attemptEnded(found->second.headers.requestId, event.attempt, event.report);
    }
    this->winningResponse = std::move(event.response);
    this->dispatcher.attemptEnded(event.attempt, event.report);
    this->winningResponse = {};
}

void GatewayLoop::handleProbe(const ProbeEvent &event)
{
    this->dispatcher.probeEnded(event.upstream, event.healthy, event.load);
}

void GatewayLoop::startAttempt(const AttemptOrder &order)
{
    OpenCall &call = this->calls.at(order.call);
    ++call.attempts;
    this->callOfAttempt.emplace(order.attempt, order.call);
    this->log.attemptStarted(call.headers.requestId, order);
    addAttemptHeaders(call.request, order.upstream.id, order.timeout);
    this->metrics.attemptStarted(order, call.request.body.size());
    this->ports.upstreams.send(order, call.request);
}

void GatewayLoop::cancelAttempt(AttemptId id)
{
    this->ports.upstreams.cancel(id);
}

void GatewayLoop::finishCall(CallId id, Outcome outcome, Reason reason, AttemptId /*winner*/)
{
    const auto found = this->calls.find(id);
    const OpenCall call = std::move(found->second);
    this->calls.erase(found);
    HttpResponse response;
    if (outcome == Outcome::Answered) {
        response = std::move(this->winningResponse);
        removeUpstreamHeaders(response);
    } else {
        response = makeGatewayRefusal(outcome, reason);
    }
    this->finish(call.headers, call.arrival, call.attempts, outcome, reason, *call.exchange,
                 std::move(response));
}

void GatewayLoop::refuse(const CallerEvent &event, const CallHeaders &headers, Outcome outcome,
                         Reason reason)
{
    this->finish(headers, event.arrival, 0, outcome, reason, *event.exchange,
                 makeGatewayRefusal(outcome, reason));
}

void GatewayLoop::finish(const CallHeaders &headers, TimePoint arrival, unsigned attempts,
                         Outcome outcome, Reason reason, HttpExchange &exchange,
                         HttpResponse response)
{
    if (outcome == Outcome::NotRun) {
        addRetryAfter(response, retryDelay(reason));
    }
    this->metrics.callFinished(headers, this->findTarget(headers.className), arrival, outcome,
                               reason);
    this->log.callFinished({headers.requestId, headers.className, outcome, reason, response.status,
                            attempts, this->clock.now() - arrival, this->state.version,
                            this->ports.replicaAge.at(this->clock.now())});
    exchange.respond(std::move(response));
}

bool GatewayLoop::startProbe(const ProbeOrder &order)
{
    ProbeOrder orderWithPath = order;
    const auto &traits = this->state.declaration->serviceSettings;
    const auto found = traits.find(order.upstream.service);
    if (found != traits.end()) {
        orderWithPath.path = found->second.healthPath;
    }
    this->metrics.probeSent(order.upstream.id, this->ports.upstreams.probe(orderWithPath));
    return true;
}

const ClassTarget *GatewayLoop::findTarget(const ClassName &name) const
{
    if (!this->state.declaration) {
        return nullptr;
    }
    const auto &classes = this->state.declaration->classes;
    const auto found = classes.find(name);
    return found == classes.end() ? nullptr : &found->second;
}

} // namespace bronzeshed
