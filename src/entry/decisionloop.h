#ifndef BRONZESHED_ENTRY_DECISIONLOOP_H
#define BRONZESHED_ENTRY_DECISIONLOOP_H

#include "base/random.h"
#include "entry/callerport.h"
#include "entry/callmetrics.h"
#include "entry/callparser.h"
#include "entry/controlinbox.h"
#include "entry/ledgercoordinator.h"
#include "entry/ownincarnation.h"
#include "entry/upstreamport.h"
#include "routing/dispatcher.h"

#include <atomic>
#include <unordered_map>

namespace bronzeshed {

/** Settings of the decision loop. */
struct DecisionOptions
{
    DispatcherOptions dispatcher;
    LedgerLimits ledger;
    Incarnation incarnation; ///< initial value; raised if a former process had a higher one
    Duration freshness = MaxControlStateAge; ///< maximum age of the control state for new work
};

/** Queues and interfaces between the decision thread and the other threads. */
struct DecisionPorts
{
    Wakeup &wakeup; ///< notified by all rings
    EventRing<CallerEvent> &callers;
    EventRing<CallId> &disconnects;
    EventRing<AttemptEvent> &attempts;
    EventRing<IncomingLedgerQuery> &ledgerQueries;
    EventRing<LedgerResult> &ledgerResults;
    ControlInbox &control;
    UpstreamPort &upstreams;
    LedgerReplyPort &ledgerRequesters;
    LedgerPeers &peers;
    EventRing<ProbeEvent> &probes;
    MetricsHub &metrics;
};

/**
 * Event loop of the decision thread. Passes events of the other threads to the dispatcher and
 * executes its decisions. Functions are called on this thread only unless marked as thread-safe.
 */
class DecisionLoop : private DispatcherOutput
{
public:
    DecisionLoop(const DecisionOptions &options, const DecisionPorts &ports);

    /** Runs until stop(). */
    void run();
    /** Makes run() return. Thread-safe. */
    void stop();
    /** Refuses new work from now on. Thread-safe. */
    void refuseNewWork() { this->refusingNewWork.store(true); }
    /** Returns the number of calls without an outcome. Thread-safe. */
    std::size_t openCalls() const { return this->open.load(); }
    /** Returns why new calls are refused, or an empty string if they are accepted. Thread-safe. */
    std::string notReadyReason() const;

private:
    struct OpenCall
    {
        HttpRequest request;
        std::shared_ptr<HttpExchange> exchange;
        CallHeaders headers;
        TimePoint arrival;
        TimePoint deadline;
        std::optional<RequestIdentity> identity; ///< set if the call may run at most once
    };

    void startAttempt(const AttemptOrder &order) override;
    void cancelAttempt(AttemptId id) override;
    void finishCall(CallId id, Outcome outcome, Reason reason, AttemptId winner) override;
    bool startProbe(const ProbeOrder &order) override;

    void applyControlState();
    void updateIncarnation(std::vector<Member> &members);
    void handleCaller(CallerEvent event);
    void handleLookup(const CallerEvent &event);
    void handleCall(CallerEvent event);
    Duration timeLeft(const CallerEvent &event, const CallHeaders &headers) const;
    bool requiresAtMostOnce(const CallHeaders &headers) const;
    bool admitAtMostOnce(const CallerEvent &event, OpenCall &call);
    void handleDisconnect(CallId id);
    void handleAttempt(AttemptEvent event);
    void refuse(const CallerEvent &event, const CallHeaders &headers, Reason reason,
                const std::string &detail);
    const ClassTarget *findTarget(const ClassName &name) const;
    bool isControlStateFresh() const;

    DecisionOptions options;
    DecisionPorts ports;
    SystemClock clock;
    SeededRandom random;
    TimerService timers;
    Dispatcher dispatcher;
    OwnIncarnation incarnation;
    LedgerCoordinator ledger;
    CallMetrics metrics;
    Declaration declaration;
    ControlState state;
    std::unordered_map<CallId, OpenCall> calls;
    HttpResponse winningResponse; ///< response of the attempt that is being handled
    std::atomic<bool> stopping{false};
    std::atomic<bool> refusingNewWork{false};
    std::atomic<bool> configured{false};
    std::atomic<std::size_t> open{0};
};

} // namespace bronzeshed

#endif
