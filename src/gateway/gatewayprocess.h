#ifndef BRONZESHED_GATEWAY_GATEWAYPROCESS_H
#define BRONZESHED_GATEWAY_GATEWAYPROCESS_H

#include "base/program.h"
#include "base/stoppablethread.h"
#include "gateway/gatewayloop.h"
#include "gateway/registrar.h"
#include "gateway/storewatcher.h"
#include "metrics/adminport.h"
#include "platform/publicports.h"
#include "platform/wireheaders.h"

#include <memory>

namespace bronzeshed {

/** Settings of the gateway process. */
struct GatewayOptions
{
    InstanceId instance;
    RegionName region;
    ZoneName zone;
    ZoneRegions regions;
    Endpoint callers;
    Endpoint readiness;
    Endpoint lookups;
    Endpoint peers; ///< where other entries read this entry's replica of the store
    Endpoint admin;
    Endpoint store;
    std::vector<Endpoint> seeds;
    std::chrono::seconds lookupValidity{2};
    std::chrono::milliseconds grace{6000}; ///< from the stop signal to the forced kill
    double fleetRepeatBurst = 0;
    unsigned loadProbes = 5;
};

/**
 * Gateway process on the users' platform: serves callers, answers their lookups of entries and
 * keeps a replica of the metadata store.
 */
class GatewayProcess : private PublicSource, private AdminSource, private StoreWatcherEvents
{
public:
    explicit GatewayProcess(const GatewayOptions &options);
    ~GatewayProcess() override;
    GatewayProcess(const GatewayProcess &) = delete;
    GatewayProcess &operator=(const GatewayProcess &) = delete;

    Endpoint callerEndpoint() const { return this->callers.localEndpoint(); }
    Endpoint lookupEndpoint() const { return this->lookups.localEndpoint(); }
    Endpoint readinessEndpoint() const { return this->readiness.localEndpoint(); }
    Endpoint adminEndpoint() const { return this->admin.localEndpoint(); }

    /** Updates the metrics and expires watches; the main thread calls it a few times a second. */
    void tick();
    /**
     * Removes the registration, serves callers until they use other entries, and completes open
     * calls. A further stop signal ends the current phase.
     */
    void drain(SignalMonitor &signals);

private:
    LookupAnswer lookup(const RegionName &region, const ZoneName &zone) override;
    bool isReady() override;
    std::string metricsText() override;
    std::string notReadyReason() override;
    std::string viewMetricsText() const;
    void stateChanged(FleetState state) override;
    void replicaConfirmed() override;
    void registrationRead(const std::optional<StoreItem> &registration) override;
    void roleChanged(ZoneRole role, const std::optional<Endpoint> &relay) override;
    void storeUnreachable() override;
    void registrationQueued() override;

    GatewayLoopOptions loopOptions() const;
    Member ownMember() const;

    GatewayOptions options;
    Wakeup wakeup;
    EventRing<CallerEvent> callerRing;
    EventRing<CallId> departureRing;
    EventRing<AttemptEvent> attemptRing;
    EventRing<ProbeEvent> probeRing;
    MetricsHub metrics;
    CallerPort callerPort;
    HttpServer callers;
    ReplicaAge replicaAge;
    PlatformUpstreamProtocol protocol;
    UpstreamPort upstreams;
    GatewayLoop loop;
    std::atomic<bool> draining{false};
    std::mutex membersMutex;
    std::vector<Member> members;
    CallerLimits activeLimits;
    std::atomic<std::uint64_t> configVersion{0};
    StoreHealth health;
    StoreWatcher storeWatcher;
    Registrar registrar;
    StoppableThread loopThread;
    SnapshotPort snapshotPort;
    LookupPort lookupPort;
    HttpServer lookups;
    ReadinessPort readinessPort;
    HttpServer readiness;
    HttpServer peers;
    AdminPort adminPort;
    HttpServer admin;
};

} // namespace bronzeshed

#endif
