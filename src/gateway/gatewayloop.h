#ifndef BRONZESHED_GATEWAY_GATEWAYLOOP_H
#define BRONZESHED_GATEWAY_GATEWAYLOOP_H

#include "base/random.h"
#include "entry/callerport.h"
#include "entry/callmetrics.h"
#include "entry/upstreamport.h"
#include "gateway/calllog.h"
#include "gateway/registry.h"
#include "routing/dispatcher.h"

#include <atomic>
#include <mutex>
#include <unordered_map>

namespace bronzeshed {

/** Settings of the gateway's decision loop. */
struct GatewayLoopOptions
{
    DispatcherOptions dispatcher;
    /** Extra attempts of the whole fleet that may follow each other after a calm time. */
    double fleetRepeatBurst = 0;
};

/** What connects the decision thread with the other threads. */
struct GatewayPorts
{
    Wakeup &wakeup; ///< of all rings
    EventRing<CallerEvent> &callers;
    EventRing<CallId> &departures;
    EventRing<AttemptEvent> &attempts;
    EventRing<ProbeEvent> &probes;
    UpstreamPort &upstreams;
    MetricsHub &metrics;
};

/**
 * Body of the gateway's decision thread: finds the route of each request, feeds the dispatcher and
 * carries out what it decides. All state but the mailbox is used by this thread only.
 */
class GatewayLoop : private DispatcherOutput
{
public:
    GatewayLoop(const GatewayLoopOptions &options, const GatewayPorts &ports);

    /** Runs until stop(). */
    void run();
    /** Thread-safe. */
    void stop();
    /** Takes over a new state of the fleet. Thread-safe. */
    void setState(FleetState state);
    /** Refuses new work from now on. Thread-safe. */
    void refuseNewWork() { this->refusing.store(true); }
    /** Calls that have no outcome yet. Thread-safe. */
    std::size_t openCalls() const { return this->open.load(); }
    /** Whether a configuration is in force. Thread-safe. */
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

    void takeState();
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
    std::unordered_map<AttemptId, CallId> callOfAttempt; ///< for the log
    HttpResponse winningResponse; ///< of the attempt being reported
    std::mutex mailboxMutex;
    std::optional<FleetState> mailbox;
    std::atomic<bool> stopping{false};
    std::atomic<bool> refusing{false};
    std::atomic<bool> configured{false};
    std::atomic<std::size_t> open{0};
};

} // namespace bronzeshed

#endif
