#ifndef BRONZESHED_GATEWAY_GATEWAYLOOP_H
#define BRONZESHED_GATEWAY_GATEWAYLOOP_H

#include "base/random.h"
#include "entry/callerport.h"
#include "entry/callmetrics.h"
#include "entry/upstreamport.h"
#include "gateway/calllog.h"
#include "gateway/drainadmission.h"
#include "gateway/replicaage.h"
#include "gateway/storereplica.h"
#include "routing/dispatcher.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <unordered_map>

namespace bronzeshed {

/** Settings of the gateway's decision loop. */
struct GatewayLoopOptions
{
    DispatcherOptions dispatcher;
    /** Largest burst of retries and hedges of the whole fleet, divided among its entries. */
    double fleetRepeatBurst = 0;
    Duration grace = std::chrono::seconds(6); ///< from the stop signal to the forced kill
    Duration lookupValidity = std::chrono::seconds(2); ///< of the lookup results of callers
};

/** Queues and ports between the decision thread and the other threads. */
struct GatewayPorts
{
    Wakeup &wakeup; ///< notified by all rings
    EventRing<CallerEvent> &callers;
    EventRing<CallId> &disconnects;
    EventRing<AttemptEvent> &attempts;
    EventRing<ProbeEvent> &probes;
    UpstreamPort &upstreams;
    MetricsHub &metrics;
    const ReplicaAge &replicaAge;
    std::function<void(WorkTimes)> workTimesMeasured; ///< called on the decision thread
};

/**
 * Main loop of the gateway's decision thread: finds the route of each request, passes events to the
 * dispatcher and executes its decisions. Except for the mailbox and the atomics, only this thread
 * accesses the state.
 */
class GatewayLoop : private DispatcherOutput
{
public:
    GatewayLoop(const GatewayLoopOptions &options, const GatewayPorts &ports);

    /** Runs until stop(). */
    void run();
    /** Thread-safe. */
    void stop();
    /** Replaces the state of the fleet. Thread-safe. */
    void setState(FleetState state);
    /** Records the stop signal. Thread-safe. @return until when open calls may run */
    TimePoint startDraining(TimePoint signalledAt);
    /** Number of calls without an outcome. Thread-safe. */
    std::size_t openCalls() const { return this->openCallCount.load(); }
    /** Whether a configuration is active. Thread-safe. */
    bool isConfigured() const { return this->configured.load(); }

private:
    struct OpenCall
    {
        HttpRequest request;
        std::shared_ptr<HttpExchange> exchange;
        CallHeaders headers;
        TimePoint arrival;
        unsigned attempts = 0;
    };

    void startAttempt(const AttemptOrder &order) override;
    void cancelAttempt(AttemptId id) override;
    void finishCall(CallId id, Outcome outcome, Reason reason, AttemptId winner) override;
    bool startProbe(const ProbeOrder &order) override;

    void applyPendingState();
    void reportWorkTimes();
    void handleCaller(CallerEvent event);
    void handleAttempt(AttemptEvent event);
    void handleProbe(const ProbeEvent &event);
    void refuse(const CallerEvent &event, const CallHeaders &headers, Outcome outcome,
                Reason reason);
    void finish(const CallHeaders &headers, TimePoint arrival, unsigned attempts, Outcome outcome,
                Reason reason, HttpExchange &exchange, HttpResponse response);
    const ClassTarget *findTarget(const ClassName &name) const;

    GatewayLoopOptions options;
    GatewayPorts ports;
    SystemClock clock;
    SeededRandom random;
    TimerService timers;
    Dispatcher dispatcher;
    CallMetrics metrics;
    CallLog log;
    FleetState state;
    std::unordered_map<CallId, OpenCall> calls;
    std::unordered_map<AttemptId, CallId> callOfAttempt; ///< used by the call log
    HttpResponse winningResponse; ///< response of the attempt whose end is being handled
    std::mutex mailboxMutex;
    std::optional<FleetState> mailbox;
    std::atomic<bool> stopping{false};
    DrainAdmission drainAdmission;
    std::atomic<bool> configured{false};
    std::atomic<std::size_t> openCallCount{0};
};

} // namespace bronzeshed

#endif
