#include "gateway/gatewayprocess.h"

#include "base/logline.h"

namespace bronzeshed {

namespace {

constexpr std::size_t MaxCalls = 2048;
/** An attempt and its hedge. */
constexpr std::size_t AttemptsPerCall = 2;
constexpr std::size_t MaxProbes = 2048;
constexpr std::size_t MetricEvents = 16384;
constexpr std::chrono::milliseconds TickPeriod{250};
/** Of the descriptors of an instance; the others are for upstreams, files and our own ports. */
constexpr std::size_t MaxCallerConnections = 3000;
/** A caller that reuses a connection within the idle limit must not meet its end. */
constexpr double IdleMargin = 1.25;
/** Servers close idle connections after 10 s unless they state another time. */
constexpr std::chrono::milliseconds UpstreamIdle{9000};
constexpr std::chrono::milliseconds UpstreamConnect{500};
constexpr std::size_t UpstreamBodyBytes = 64UL * 1024 * 1024;
/** Parts of the grace after which a stopping entry refuses new work, and at which it ends. */
constexpr double RefuseShare = 0.5;
constexpr double MinServeShare = 0.75;
constexpr double EndShare = 0.95;
/** With fewer entries than this in its zone, a caller may use those of its whole region. */
constexpr std::size_t MinEntriesInZone = 2;

ConnectionPoolLimits poolLimits()
{
    ConnectionPoolLimits limits;
    limits.connectTimeout = UpstreamConnect;
    limits.idleTimeout = UpstreamIdle;
    limits.bodyBytes = UpstreamBodyBytes;
    return limits;
}

HttpLimits httpLimits(const CallerLimits &limits)
{
    HttpLimits http;
    http.headerBytes = limits.headerBytes;
    http.bodyBytes = limits.bodyBytes;
    http.connections = MaxCallerConnections;
    http.headerTimeout = limits.headerTimeout;
    http.idleTimeout
        = std::chrono::duration_cast<std::chrono::milliseconds>(limits.idleTimeout * IdleMargin);
    return http;
}

} // namespace

GatewayProcess::GatewayProcess(const GatewayOptions &given)
    : options(given)
    , callerRing(MaxCalls, wakeup)
    , departureRing(MaxCalls, wakeup)
    , attemptRing(MaxCalls * AttemptsPerCall, wakeup)
    , probeRing(MaxProbes, wakeup)
    , metrics(MetricEvents)
    , callerPort(callerRing, departureRing)
    , callers(given.callers, httpLimits(CallerLimits{}), callerPort)
    , upstreams(poolLimits(), attemptRing, probeRing, protocol)
    , loop(this->loopOptions(),
           {wakeup, callerRing, departureRing, attemptRing, probeRing, upstreams, metrics})
    , loopThread([this] { this->loop.run(); })
    , registrar(given.store, this->self(), health)
    , follower({given.store, given.instance, given.region, given.zone, given.regions, given.seeds},
               health, *this)
    , snapshotPort(follower)
    , lookupPort(*this)
    , lookups(given.lookups, HttpLimits{}, lookupPort)
    , readinessPort(*this)
    , readiness(given.readiness, HttpLimits{}, readinessPort)
    , peers(given.peers, HttpLimits{}, snapshotPort)
    , adminPort(*this)
    , admin(given.admin, HttpLimits{}, adminPort)
{
    this->follower.start();
}

GatewayProcess::~GatewayProcess()
{
    this->admin.stop();
    this->peers.stop();
    this->readiness.stop();
    this->lookups.stop();
    this->follower.stop();
    this->registrar.leave();
    this->callers.stop();
    this->loop.stop();
    this->loopThread.join();
    this->upstreams.stop();
}

GatewayLoopOptions GatewayProcess::loopOptions() const
{
    GatewayLoopOptions loopOptions;
    loopOptions.dispatcher.region = this->options.region;
    loopOptions.dispatcher.zone = this->options.zone;
    loopOptions.dispatcher.maxCalls = MaxCalls;
    loopOptions.dispatcher.sharedUpstreams = true;
    loopOptions.dispatcher.retryServerErrors = true;
    loopOptions.dispatcher.loadProbesPerCall = this->options.loadQueries;
    loopOptions.fleetRepeatBurst = this->options.fleetRepeatBurst;
    return loopOptions;
}

Member GatewayProcess::self() const
{
    Member member;
    member.id = this->options.instance;
    member.region = this->options.region;
    member.zone = this->options.zone;
    member.callerEndpoint = this->callers.localEndpoint();
    member.agentEndpoint = this->options.peers;
    return member;
}

void GatewayProcess::stateChanged(FleetState state)
{
    {
        const std::lock_guard lock(this->membersMutex);
        this->members = state.members;
    }
    if (state.declaration && state.declaration->callerLimits != this->limitsInForce) {
        this->limitsInForce = state.declaration->callerLimits;
        this->callers.setLimits(httpLimits(this->limitsInForce));
    }
    this->loop.setState(std::move(state));
}

void GatewayProcess::copyChanged()
{
    this->snapshotPort.copyChanged();
}

void GatewayProcess::registrationMissing()
{
    this->registrar.registrationMissing();
}

void GatewayProcess::relayingChanged(bool relaying)
{
    this->registrar.setRelaying(relaying);
}

LookupAnswer GatewayProcess::lookup(const RegionName &region, const ZoneName &zone)
{
    LookupAnswer answer;
    answer.validity = this->options.lookupValidity;
    const std::lock_guard lock(this->membersMutex);
    const auto addMatching = [&](const auto &matches) {
        for (const Member &member : this->members) {
            if (matches(member)) {
                answer.entries.push_back(member.callerEndpoint);
            }
        }
    };
    addMatching([&](const Member &member) { return member.zone == zone; });
    if (answer.entries.size() < MinEntriesInZone) {
        addMatching(
            [&](const Member &member) { return member.region == region && member.zone != zone; });
    }
    if (answer.entries.empty()) {
        addMatching([](const Member &) { return true; });
    }
    if (answer.entries.empty() && this->isReady()) {
        answer.entries.push_back(this->callers.localEndpoint());
    }
    return answer;
}

bool GatewayProcess::isReady()
{
    return this->notReadyReason().empty();
}

std::string GatewayProcess::notReadyReason()
{
    if (this->draining.load()) {
        return "draining";
    }
    return this->loop.isConfigured() ? "" : "no configuration";
}

std::string GatewayProcess::metricsText()
{
    this->tick();
    return this->metrics.render();
}

void GatewayProcess::tick()
{
    const TimePoint now = std::chrono::steady_clock::now();
    this->metrics.drain(now);
    this->snapshotPort.expireWatches(now);
}

void GatewayProcess::drain(SignalMonitor &signals)
{
    const TimePoint start = std::chrono::steady_clock::now();
    const auto waitUntil = [&](double share, const auto &done) {
        const TimePoint end
            = start + std::chrono::duration_cast<Duration>(this->options.grace * share);
        while (!done() && std::chrono::steady_clock::now() < end) {
            this->tick();
            if (signals.wait(TickPeriod) != StopRequest::None) {
                return;
            }
        }
    };
    LogLine("drain_started").add("grace_ms", this->options.grace.count());
    this->draining.store(true);
    this->callers.startDraining();
    this->registrar.leave();
    waitUntil(RefuseShare, [] { return false; });
    this->loop.refuseNewWork();
    waitUntil(MinServeShare, [] { return false; });
    waitUntil(EndShare, [this] {
        return this->loop.openCalls() == 0 && this->callers.pendingRequests() == 0;
    });
    LogLine("drain_ended").add("open_calls", this->loop.openCalls());
}

} // namespace bronzeshed
