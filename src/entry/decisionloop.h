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
    Incarnation incarnation; ///< of this process, unless a former one had a higher one
    Duration freshness = ControlFreshness; ///< age of control state that stops new work
};

/** What connects the decision thread with the other threads. */
struct DecisionPorts
{
    Wakeup &wakeup; ///< of all rings
    EventRing<CallerEvent> &callers;
    EventRing<CallId> &departures;
    EventRing<AttemptEvent> &attempts;
    EventRing<IncomingLedgerQuery> &questions;
    EventRing<LedgerResult> &results;
    ControlInbox &control;
    UpstreamPort &upstreams;
    LedgerReplyPort &askers;
    LedgerPeers &peers;
    EventRing<ProbeEvent> &probes;
    MetricsHub &metrics;
};

/**
 * Body of the decision thread: feeds the dispatcher with events of the other threads and carries
 * out what it decides. All state is used by this thread only.
 */
class DecisionLoop : private DispatcherOutput
{
public:
    DecisionLoop(const DecisionOptions &options, const DecisionPorts &ports);

    /** Runs until stop(). */
    void run();
    /** Thread-safe. */
    void stop();
    /** Refuses new work from now on. Thread-safe. */
    void refuseNewWork() { this->refusing.store(true); }
    /** Calls that have no outcome yet. Thread-safe. */
    std::size_t openCalls() const { return this->open.load(); }
    /** Empty if new work is taken, otherwise why it is not. Thread-safe. */
    std::string notReadyReason() const;

private:
    struct OpenCall
    {
        HttpRequest request;
        std::shared_ptr<HttpExchange> exchange;
        CallHeaders headers;
        TimePoint arrival;
        TimePoint deadline;
        std::optional<RequestIdentity> identity; ///< set if the call may run once only
    };

    void startAttempt(const AttemptOrder &order) override;
    void cancelAttempt(AttemptId id) override;
    void finishCall(CallId id, Outcome outcome, Reason reason, AttemptId winner) override;
    bool startProbe(const ProbeOrder &order) override;

    void takeControlState();
    void updateIncarnation(std::vector<Member> &members);
    void handleCaller(CallerEvent event);
    void handleLookup(const CallerEvent &event);
    void handleCall(CallerEvent event);
    Duration timeLeft(const CallerEvent &event, const CallHeaders &headers) const;
    bool mustRunOnce(const CallHeaders &headers) const;
    bool admitOnce(const CallerEvent &event, OpenCall &call);
    void handleDeparture(CallId id);
    void handleAttempt(AttemptEvent event);
    void refuse(const CallerEvent &event, const CallHeaders &headers, Reason reason,
                const std::string &detail);
    const ClassTarget *findTarget(const ClassName &name) const;
    bool isFresh() const;

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
    HttpResponse winningResponse; ///< of the attempt being reported
    std::atomic<bool> stopping{false};
    std::atomic<bool> refusing{false};
    std::atomic<bool> configured{false};
    std::atomic<std::size_t> open{0};
};

} // namespace bronzeshed

#endif
