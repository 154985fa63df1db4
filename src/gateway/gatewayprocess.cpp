#include "gateway/gatewayprocess.h"

#include "base/error.h"
#include "base/logline.h"
#include "metrics/textexposition.h"

#include <algorithm>

namespace bronzeshed {

namespace {

constexpr std::size_t MaxCalls = 2048;
/** One attempt and its hedge. */
constexpr std::size_t AttemptsPerCall = 2;
constexpr std::size_t MaxProbes = 2048;
constexpr std::size_t MaxMetricEvents = 16384;
constexpr std::chrono::milliseconds TickPeriod{250};
/** Leaves file descriptors of the instance for upstreams, files and the other listeners. */
constexpr std::size_t MaxCallerConnections = 3000;
/**
 * Factor on the configured idle timeout, so that the gateway does not close a connection while a
 * caller reuses it within the limit.
 */
constexpr double IdleTimeoutFactor = 1.25;
/** Below the 10 s after which upstreams close idle connections unless they state another time. */
constexpr std::chrono::milliseconds UpstreamIdleTimeout{9000};
constexpr std::chrono::milliseconds UpstreamConnectTimeout{500};
/** A tenth of the memory of the smallest instances, for one or for all incomplete responses. */
constexpr std::size_t MaxUpstreamBodyBytes = 16UL * 1024 * 1024;
/** Share of the grace period for which callers with old lookup results are still answered. */
constexpr double MinServeShare = 0.75;
/** Share of the grace period after which the process ends in any case. */
constexpr double MaxServeShare = 0.95;
/** With fewer entries in its zone, a caller is also given the other entries of its region. */
constexpr std::size_t MinEntriesInZone = 2;

ConnectionPoolLimits poolLimits()
{
    ConnectionPoolLimits limits;
    limits.connectTimeout = UpstreamConnectTimeout;
    limits.idleTimeout = UpstreamIdleTimeout;
    limits.bodyBytes = MaxUpstreamBodyBytes;
    limits.totalBodyBytes = MaxUpstreamBodyBytes;
    return limits;
}

HttpLimits httpLimits(const CallerLimits &limits)
{
    HttpLimits http;
    http.headerBytes = limits.headerBytes;
    http.bodyBytes = limits.bodyBytes;
    http.connections = MaxCallerConnections;
    http.headerTimeout = limits.headerTimeout;
    http.idleTimeout = std::chrono::duration_cast<std::chrono::milliseconds>(limits.idleTimeout
                                                                             * IdleTimeoutFactor);
    return http;
}

/** Opens a server, and names its setting in the log if that fails. */
HttpServer openServer(const char *setting, const Endpoint &endpoint, const HttpLimits &limits,
                      HttpHandler &handler)
{
    try {
        return HttpServer(endpoint, limits, handler);
    } catch (const Error &error) {
        LogLine("listen_failed", LogLevel::Error)
            .add("setting", setting)
            .add("address", endpoint.toString())
            .add("error", error.what());
        throw;
    }
}

} // namespace

GatewayProcess::GatewayProcess(const GatewayOptions &gatewayOptions)
    : options(gatewayOptions)
    , callerRing(MaxCalls, wakeup)
    , departureRing(MaxCalls, wakeup)
    , attemptRing(MaxCalls * AttemptsPerCall, wakeup)
    , probeRing(MaxProbes, wakeup)
    , metrics(MaxMetricEvents)
    , callerPort(callerRing, departureRing)
    , callers(openServer("listen", gatewayOptions.callers, httpLimits(CallerLimits{}), callerPort))
    , replicaAge(std::chrono::steady_clock::now())
    , upstreams(poolLimits(), attemptRing, probeRing, protocol)
    , loop(this->loopOptions(),
           {wakeup, callerRing, departureRing, attemptRing, probeRing, upstreams, metrics,
            replicaAge,
            [this](WorkTimes times) { this->registrar.setWorkTimes(std::move(times)); }})
    , storeWatcher({gatewayOptions.store, gatewayOptions.instance, gatewayOptions.region,
                    gatewayOptions.zone, gatewayOptions.regions, gatewayOptions.seeds},
                   health, replicaAge, *this)
    , registrar(gatewayOptions.store, this->ownMember(), gatewayOptions.seeds, health,
                storeWatcher.relayDuties())
    , loopThread([this] { this->loop.run(); }, [this] { this->loop.stop(); })
    , snapshotPort(storeWatcher)
    , lookupPort(*this)
    , lookups(openServer("lookup-listen", gatewayOptions.lookups, HttpLimits{}, lookupPort))
    , readinessPort(*this)
    , readiness(openServer("ready-listen", gatewayOptions.readiness, HttpLimits{}, readinessPort))
    , peers(openServer("peer-listen", gatewayOptions.peers, HttpLimits{}, snapshotPort))
    , adminPort(*this)
    , admin(openServer("admin-listen", gatewayOptions.admin, HttpLimits{}, adminPort))
{
    this->storeWatcher.start();
}

GatewayProcess::~GatewayProcess()
{
    this->admin.stop();
    this->peers.stop();
    this->readiness.stop();
    this->lookups.stop();
    this->storeWatcher.stop();
    this->registrar.deregister();
    this->callers.stop();
    this->loopThread.stop();
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
    loopOptions.dispatcher.loadProbesPerCall = this->options.loadProbes;
    loopOptions.fleetRepeatBurst = this->options.fleetRepeatBurst;
    loopOptions.grace = this->options.grace;
    loopOptions.lookupValidity = this->options.lookupValidity;
    return loopOptions;
}

Member GatewayProcess::ownMember() const
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
    if (state.declaration && state.declaration->callerLimits != this->activeLimits) {
        this->activeLimits = state.declaration->callerLimits;
        this->callers.setLimits(httpLimits(this->activeLimits));
    }
    this->configVersion.store(state.version.value());
    this->loop.setState(std::move(state));
}

void GatewayProcess::replicaConfirmed()
{
    this->snapshotPort.replicaConfirmed();
}

void GatewayProcess::registrationRead(const std::optional<StoreItem> &registration)
{
    this->registrar.registrationRead(registration);
}

void GatewayProcess::roleChanged(ZoneRole role, const std::optional<Endpoint> &relay)
{
    this->registrar.setRole(role, relay);
}

void GatewayProcess::storeUnreachable()
{
    this->registrar.storeUnreachable();
}

void GatewayProcess::registrationQueued()
{
    this->registrar.registrationRequested();
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
    return this->metrics.render() + this->viewMetricsText();
}

std::string GatewayProcess::viewMetricsText() const
{
    TextExposition output;
    output.begin("bronzeshed_view_age_seconds", "gauge",
                 "Time since the copy of the store was known to be complete.");
    const Duration age = this->replicaAge.at(std::chrono::steady_clock::now());
    output.sample({}, std::chrono::duration<double>(age).count());
    output.begin("bronzeshed_configuration_version", "gauge",
                 "Version of the configuration in the copy of the store.");
    output.sample({}, static_cast<double>(this->configVersion.load()));
    return output.text();
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
    const auto atShare = [&](double share) {
        return start + std::chrono::duration_cast<Duration>(this->options.grace * share);
    };
    const auto waitUntil = [&](TimePoint end, const auto &done) {
        while (!done() && std::chrono::steady_clock::now() < end) {
            this->tick();
            const auto left = std::chrono::ceil<std::chrono::milliseconds>(
                end - std::chrono::steady_clock::now());
            if (signals.wait(std::clamp(left, std::chrono::milliseconds(0), TickPeriod))
                != StopRequest::None) {
                return;
            }
        }
    };
    LogLine("drain_started").add("grace_ms", this->options.grace.count());
    this->draining.store(true);
    this->callers.startDraining();
    const TimePoint servingEnd = this->loop.startDraining(start);
    this->registrar.deregister();
    waitUntil(atShare(MinServeShare), [] { return false; });
    waitUntil(servingEnd, [this] {
        return this->loop.openCalls() == 0 && this->callers.pendingRequests() == 0;
    });
    const Duration left = atShare(MaxServeShare) - std::chrono::steady_clock::now();
    this->callers.finish(
        std::chrono::duration_cast<std::chrono::milliseconds>(std::max(left, Duration::zero())));
    LogLine("drain_ended")
        .add("open_calls", this->loop.openCalls())
        .add("open_connections", this->callers.openConnections());
}

} // namespace bronzeshed
