#include "entry/decisionloop.h"

#include "base/error.h"
#include "base/logline.h"
#include "entry/callresponse.h"
#include "entry/lookup.h"
#include "routing/queueaheadpolicy.h"

namespace bronzeshed {

namespace {

constexpr std::chrono::milliseconds MaxWait{100};

} // namespace

DecisionLoop::DecisionLoop(const DecisionOptions &options, const DecisionPorts &ports)
    : options(options)
    , ports(ports)
    , random(makeSystemRandom())
    , dispatcher(this->clock, this->random, this->timers, *this,
                 std::make_unique<QueueAheadPolicy>(), options.dispatcher)
    , incarnation(options.incarnation, ports.control.status().callerEndpoint)
    , ledger(this->clock, this->timers, options.incarnation, options.ledger, ports.peers)
    , metrics(ports.metrics, this->clock, options.dispatcher.region)
{
}

void DecisionLoop::run()
{
    while (!this->stopping.load()) {
        this->applyControlState();
        // This check precedes all events. After a pause of the process, queued calls must not be
        // dispatched on an outdated state.
        this->dispatcher.setDispatchAllowed(this->isControlStateFresh());
        this->timers.fire(this->clock.now());
        bool busy = takeEvents(this->ports.attempts, [this](AttemptEvent event) {
            this->handleAttempt(std::move(event));
        });
        busy |= takeEvents(this->ports.callers,
                           [this](CallerEvent event) { this->handleCaller(std::move(event)); });
        busy |= takeEvents(this->ports.disconnects,
                           [this](CallId id) { this->handleDisconnect(id); });
        busy |= takeEvents(this->ports.ledgerQueries, [this](const IncomingLedgerQuery &question) {
            this->ports.ledgerRequesters.reply({question.queryId, this->ledger.resolve(question)});
        });
        busy |= takeEvents(this->ports.ledgerResults, [this](const LedgerResult &result) {
            this->ledger.handleResult(result);
        });
        busy |= takeEvents(this->ports.probes, [this](const ProbeEvent &event) {
            this->dispatcher.probeEnded(event.upstream, event.healthy);
        });
        this->open.store(this->calls.size() + this->ledger.waitingCalls());
        if (busy) {
            continue;
        }
        const TimePoint now = this->clock.now();
        const TimePoint wakeAt = this->timers.nextDue().value_or(now + MaxWait);
        this->ports.wakeup.wait(std::min<Duration>(wakeAt - now, MaxWait));
    }
}

void DecisionLoop::stop()
{
    this->stopping.store(true);
    this->ports.wakeup.notify();
}

void DecisionLoop::applyControlState()
{
    auto newer = this->ports.control.takeState();
    if (!newer) {
        return;
    }
    this->updateIncarnation(newer->members);
    try {
        if (!newer->declarationText.empty()) {
            this->declaration = parseDeclaration(newer->declarationText);
            this->metrics.declarationChanged(this->declaration);
        }
    } catch (const DeclarationError &error) {
        LogLine("declaration_rejected", LogLevel::Error)
            .add("version", newer->configVersion.value())
            .add("error", error.what());
        return;
    }
    if (newer->configVersion != this->state.configVersion) {
        LogLine("configuration_activated")
            .add("from", this->state.configVersion.value())
            .add("to", newer->configVersion.value());
    }
    this->state = std::move(*newer);
    this->ports.control.setActiveConfigVersion(this->state.configVersion);
    this->configured.store(!this->declaration.classes.empty());
    this->dispatcher.update(this->declaration, this->state.upstreams);
}

void DecisionLoop::updateIncarnation(std::vector<Member> &members)
{
    const Incarnation before = this->incarnation.value();
    if (!this->incarnation.update(members, this->random)) {
        return;
    }
    const Incarnation chosen = this->incarnation.value();
    const std::int64_t ahead
        = std::max<std::int64_t>(0, incarnationStartMs(chosen) - wallClockMs());
    LogLine("incarnation_raised", LogLevel::Warning)
        .add("from", before.value())
        .add("to", chosen.value())
        .add("ahead_ms", ahead);
    this->ledger.restart(chosen, std::chrono::milliseconds(ahead));
    this->ports.control.setIncarnation(chosen);
}

bool DecisionLoop::isControlStateFresh() const
{
    if (!this->incarnation.isPublished()) {
        return false;
    }
    return this->clock.now() - this->ports.control.confirmedAt() <= this->options.freshness;
}

void DecisionLoop::handleCaller(CallerEvent event)
{
    if (event.request.path() == "/bronzeshed/lookup") {
        this->handleLookup(event);
        return;
    }
    if (event.request.path() == CallCountsPath) {
        event.exchange->respond(
            makeJsonResponse(200, serializeCallCounts(this->metrics.lastMinute())));
        return;
    }
    this->handleCall(std::move(event));
}

void DecisionLoop::handleLookup(const CallerEvent &event)
{
    const ClassName className(event.request.queryValue("class"));
    if (!this->isControlStateFresh()) {
        event.exchange->respond(makeRefusal(Outcome::NotRun, Reason::StaleControlState));
        return;
    }
    if (this->declaration.classes.empty()) {
        event.exchange->respond(makeRefusal(Outcome::NotRun, Reason::NoConfiguration));
        return;
    }
    const ClassTarget *target = this->findTarget(className);
    if (target == nullptr) {
        event.exchange->respond(makeRefusal(Outcome::Invalid, Reason::UnknownClass));
        return;
    }
    std::string region = event.request.queryValue("region");
    if (region.empty()) {
        region = this->options.dispatcher.region.value();
    }
    event.exchange->respond(makeLookupResponse(className, target->service, RegionName(region),
                                               this->state, wallClockMs()));
}

void DecisionLoop::handleCall(CallerEvent event)
{
    ParsedCall parsed = parseCallHeaders(event.request);
    if (parsed.reason != Reason::None) {
        this->refuse(event, parsed.headers, parsed.reason, parsed.detail);
        return;
    }
    CallRequest request;
    request.id = event.id;
    request.className = parsed.headers.className;
    request.timeLeft = this->timeLeft(event, parsed.headers);
    request.depth = parsed.headers.depth;
    request.attempt = parsed.headers.attempt;
    OpenCall call;
    call.headers = std::move(parsed.headers);
    call.arrival = event.arrival;
    call.deadline = this->clock.now() + request.timeLeft;
    if (this->requiresAtMostOnce(call.headers)) {
        if (!this->admitAtMostOnce(event, call)) {
            return;
        }
    } else if (call.headers.requestId.isEmpty()) {
        call.headers.requestId = this->ledger.makeRequestId(this->random.next());
    }
    call.request = std::move(event.request);
    call.exchange = std::move(event.exchange);
    this->calls.emplace(request.id, std::move(call));
    // Calls are refused through finishCall(), so that the ledger records the outcome too.
    if (this->refusingNewWork.load()) {
        this->finishCall(request.id, Outcome::NotRun, Reason::Draining, {});
    } else if (!this->isControlStateFresh()) {
        this->finishCall(request.id, Outcome::NotRun, Reason::StaleControlState, {});
    } else {
        this->dispatcher.admit(request);
    }
}

Duration DecisionLoop::timeLeft(const CallerEvent &event, const CallHeaders &headers) const
{
    const ClassTarget *target = this->findTarget(headers.className);
    const Duration fallback = target != nullptr ? Duration(target->deadline) : Duration::zero();
    const Duration given = headers.timeLeft ? Duration(*headers.timeLeft) : fallback;
    return given - (this->clock.now() - event.arrival);
}

bool DecisionLoop::requiresAtMostOnce(const CallHeaders &headers) const
{
    if (this->declaration.classes.empty()) {
        // The class is not configured yet. The id may belong to a request that ran at another
        // entry.
        return parseRequestIdentity(headers.requestId).has_value();
    }
    const ClassTarget *target = this->findTarget(headers.className);
    return target != nullptr && !target->repeatable;
}

bool DecisionLoop::admitAtMostOnce(const CallerEvent &event, OpenCall &call)
{
    call.identity = parseRequestIdentity(call.headers.requestId);
    if (!call.identity) {
        const bool missing = call.headers.requestId.isEmpty();
        this->refuse(event, call.headers,
                     missing ? Reason::MissingIdentity : Reason::MalformedIdentity, {});
        return false;
    }
    call.headers.requestId = call.identity->toId();
    return this->ledger.admit(
        {event.id, *call.identity, event.digest, call.deadline, event.exchange},
        this->state.members);
}

void DecisionLoop::handleDisconnect(CallId id)
{
    const auto found = this->calls.find(id);
    // A non-idempotent request keeps running, so that its outcome is recorded for repeats.
    if (found != this->calls.end() && !found->second.identity) {
        this->dispatcher.callerLeft(id);
    }
}

void DecisionLoop::handleAttempt(AttemptEvent event)
{
    this->metrics.attemptEnded(event.attempt, event.report, event.response.body.size());
    this->winningResponse = std::move(event.response);
    this->dispatcher.attemptEnded(event.attempt, event.report);
    this->winningResponse = {};
}

void DecisionLoop::startAttempt(const AttemptOrder &order)
{
    OpenCall &call = this->calls.at(order.call);
    HttpRequest &request = call.request;
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(order.timeout);
    request.headers.set("Bronzeshed-Deadline-Ms", std::to_string(left.count()));
    request.headers.set("Bronzeshed-Depth", std::to_string(call.headers.depth));
    request.headers.set("Bronzeshed-Request-Id", call.headers.requestId.value());
    this->metrics.attemptStarted(order, request.body.size());
    this->ports.upstreams.send(order, request);
}

void DecisionLoop::cancelAttempt(AttemptId id)
{
    this->ports.upstreams.cancel(id);
}

void DecisionLoop::finishCall(CallId id, Outcome outcome, Reason reason, AttemptId /*winner*/)
{
    const auto found = this->calls.find(id);
    const OpenCall call = std::move(found->second);
    this->calls.erase(found);
    this->metrics.callFinished(call.headers, this->findTarget(call.headers.className), call.arrival,
                               outcome, reason);
    HttpResponse response = outcome == Outcome::Answered
        ? makeAnswer(std::move(this->winningResponse))
        : makeRefusal(outcome, reason);
    if (call.identity) {
        this->ledger.complete(*call.identity, outcome, reason, response);
    }
    call.exchange->respond(std::move(response));
}

bool DecisionLoop::startProbe(const ProbeOrder &order)
{
    this->metrics.probeSent(order.upstream.id, this->ports.upstreams.probe(order));
    return true;
}

void DecisionLoop::refuse(const CallerEvent &event, const CallHeaders &headers, Reason reason,
                          const std::string &detail)
{
    this->metrics.callFinished(headers, this->findTarget(headers.className), event.arrival,
                               Outcome::Invalid, reason);
    event.exchange->respond(makeRefusal(Outcome::Invalid, reason, detail));
}

const ClassTarget *DecisionLoop::findTarget(const ClassName &name) const
{
    const auto found = this->declaration.classes.find(name);
    return found == this->declaration.classes.end() ? nullptr : &found->second;
}

std::string DecisionLoop::notReadyReason() const
{
    if (this->refusingNewWork.load()) {
        return "draining; callers use other entries";
    }
    if (!this->configured.load()) {
        return "no configuration yet; check that the agent runs and that a declaration was applied";
    }
    if (!this->isControlStateFresh()) {
        return "the control state is stale; check that the agent runs and reaches its peers";
    }
    return {};
}

} // namespace bronzeshed
