#include "entry/decisionloop.h"

#include "base/error.h"
#include "base/logline.h"
#include "entry/callresponse.h"
#include "entry/lookup.h"
#include "routing/freeslotpolicy.h"

namespace bronzeshed {

namespace {

constexpr std::chrono::milliseconds MaxSleep{100};
/** Events taken from one ring before the others are looked at. */
constexpr unsigned MaxBatch = 256;

std::int64_t wallClockMs()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

} // namespace

DecisionLoop::DecisionLoop(const DecisionOptions &options, Wakeup &wakeup,
                           EventRing<CallerEvent> &callers, EventRing<AttemptEvent> &attempts,
                           ControlInbox &control, UpstreamPort &upstreams)
    : options(options)
    , wakeup(wakeup)
    , callers(callers)
    , attempts(attempts)
    , control(control)
    , upstreams(upstreams)
    , random(makeSystemRandom())
    , dispatcher(this->clock, this->random, this->timers, *this, std::make_unique<FreeSlotPolicy>(),
                 options.dispatcher)
{
}

void DecisionLoop::run()
{
    while (!this->stopping.load()) {
        this->takeControlState();
        this->timers.fire(this->clock.now());
        bool busy = false;
        for (unsigned i = 0; i < MaxBatch; ++i) {
            auto ended = this->attempts.tryPop();
            if (!ended) {
                break;
            }
            busy = true;
            this->handleAttempt(std::move(*ended));
        }
        for (unsigned i = 0; i < MaxBatch; ++i) {
            auto arrived = this->callers.tryPop();
            if (!arrived) {
                break;
            }
            busy = true;
            this->handleCaller(std::move(*arrived));
        }
        this->open.store(this->calls.size());
        if (busy) {
            continue;
        }
        const TimePoint now = this->clock.now();
        const TimePoint wakeAt = this->timers.nextDue().value_or(now + MaxSleep);
        this->wakeup.wait(std::min<Duration>(wakeAt - now, MaxSleep));
    }
}

void DecisionLoop::stop()
{
    this->stopping.store(true);
    this->wakeup.notify();
}

void DecisionLoop::takeControlState()
{
    auto newer = this->control.takeState();
    if (!newer) {
        return;
    }
    try {
        if (!newer->declarationText.empty()) {
            this->declaration = parseDeclaration(newer->declarationText);
        }
    } catch (const DeclarationError &error) {
        LogLine("declaration_rejected", LogLevel::Error)
            .add("version", newer->configVersion.value())
            .add("error", error.what());
        return;
    }
    if (newer->configVersion != this->state.configVersion) {
        LogLine("configuration_in_force")
            .add("from", this->state.configVersion.value())
            .add("to", newer->configVersion.value());
    }
    this->state = std::move(*newer);
    this->control.setConfigVersionInForce(this->state.configVersion);
    this->dispatcher.update(this->declaration, this->state.upstreams);
}

bool DecisionLoop::isFresh() const
{
    return this->clock.now() - this->control.confirmedAt() <= this->options.freshness;
}

void DecisionLoop::handleCaller(CallerEvent event)
{
    if (event.request.path() == "/bronzeshed/lookup") {
        this->handleLookup(event);
        return;
    }
    this->handleCall(std::move(event));
}

void DecisionLoop::handleLookup(const CallerEvent &event)
{
    const ClassName className(event.request.queryValue("class"));
    if (!this->isFresh()) {
        event.exchange->respond(makeRefusal(Outcome::NotRun, Reason::StaleControlState));
        return;
    }
    if (this->declaration.classes.empty()) {
        event.exchange->respond(makeRefusal(Outcome::NotRun, Reason::NoConfiguration));
        return;
    }
    const auto target = this->declaration.classes.find(className);
    if (target == this->declaration.classes.end()) {
        event.exchange->respond(makeRefusal(Outcome::Invalid, Reason::UnknownClass));
        return;
    }
    std::string region = event.request.queryValue("region");
    if (region.empty()) {
        region = this->options.dispatcher.region.value();
    }
    event.exchange->respond(makeLookupResponse(className, target->second.service,
                                               RegionName(region), this->state, wallClockMs()));
}

void DecisionLoop::handleCall(CallerEvent event)
{
    ParsedCall parsed = parseCallHeaders(event.request);
    if (parsed.reason != Reason::None) {
        event.exchange->respond(makeRefusal(Outcome::Invalid, parsed.reason, parsed.detail));
        return;
    }
    if (this->refusing.load()) {
        event.exchange->respond(makeRefusal(Outcome::NotRun, Reason::Draining));
        return;
    }
    if (!this->isFresh()) {
        event.exchange->respond(makeRefusal(Outcome::NotRun, Reason::StaleControlState));
        return;
    }
    const auto target = this->declaration.classes.find(parsed.headers.className);
    const bool known = target != this->declaration.classes.end();
    const Duration fallback = known ? target->second.deadline : Duration::zero();
    CallRequest request;
    this->lastCall = this->lastCall.next();
    request.id = this->lastCall;
    request.className = parsed.headers.className;
    request.timeLeft = parsed.headers.timeLeft ? Duration(*parsed.headers.timeLeft) : fallback;
    request.timeLeft -= this->clock.now() - event.arrival;
    request.depth = parsed.headers.depth;
    request.attempt = parsed.headers.attempt;
    this->calls.emplace(request.id,
                        OpenCall{std::move(event.request), std::move(event.exchange),
                                 std::move(parsed.headers), event.arrival + request.timeLeft});
    this->dispatcher.admit(request);
}

void DecisionLoop::handleAttempt(AttemptEvent event)
{
    this->winningResponse = std::move(event.response);
    this->dispatcher.attemptEnded(event.attempt, event.report);
    this->winningResponse = {};
}

void DecisionLoop::startAttempt(const AttemptOrder &order)
{
    const OpenCall &call = this->calls.at(order.call);
    HttpRequest request = call.request;
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(order.timeout);
    request.headers.set("Bronzeshed-Deadline-Ms", std::to_string(left.count()));
    request.headers.set("Bronzeshed-Depth", std::to_string(call.headers.depth));
    this->upstreams.send(order, request);
}

void DecisionLoop::cancelAttempt(AttemptId id)
{
    this->upstreams.cancel(id);
}

void DecisionLoop::finishCall(CallId id, Outcome outcome, Reason reason, AttemptId /*winner*/)
{
    const auto found = this->calls.find(id);
    const OpenCall call = std::move(found->second);
    this->calls.erase(found);
    if (outcome == Outcome::Answered) {
        call.exchange->respond(makeAnswer(std::move(this->winningResponse)));
    } else {
        call.exchange->respond(makeRefusal(outcome, reason));
    }
}

} // namespace bronzeshed
