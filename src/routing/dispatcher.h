#ifndef BRONZESHED_ROUTING_DISPATCHER_H
#define BRONZESHED_ROUTING_DISPATCHER_H

#include "base/clock.h"
#include "base/random.h"
#include "base/strongnumber.h"
#include "base/timerservice.h"
#include "config/declaration.h"
#include "membership/controlstate.h"
#include "requests/outcome.h"
#include "routing/callbudget.h"
#include "routing/callqueue.h"
#include "routing/dispatcheroptions.h"
#include "routing/dispatcheroutput.h"
#include "routing/hedgetimer.h"
#include "routing/loadsurvey.h"
#include "routing/selectionpolicy.h"
#include "routing/servicetimeestimate.h"
#include "routing/upstreamset.h"
#include "routing/worktimeestimate.h"

#include <map>
#include <memory>
#include <set>
#include <unordered_map>

namespace bronzeshed {

struct OpenAttempt;
struct OpenCall;

/** A request that asks to be dispatched. */
struct CallRequest
{
    CallId id;
    ClassName className;
    Duration timeLeft = Duration::zero(); ///< until the caller's deadline
    unsigned depth = 0;
    unsigned attempt = 0; ///< how often the caller tried before
};

/**
 * Decides for each call whether, when and where it runs. Uses no sockets, threads, wall clock or
 * global randomness; everything it decides leaves through DispatcherOutput. The output must not
 * call back from within its functions.
 */
class Dispatcher
{
public:
    Dispatcher(const Clock &clock, Random &random, TimerService &timers, DispatcherOutput &output,
               std::unique_ptr<SelectionPolicy> policy, DispatcherOptions options);
    ~Dispatcher();
    Dispatcher(const Dispatcher &) = delete;
    Dispatcher &operator=(const Dispatcher &) = delete;

    /** Takes over a new configuration and new upstreams. */
    void update(const Declaration &declaration, const std::vector<UpstreamInfo> &upstreams);

    /** Queues or refuses a call. Every admitted call ends with one finishCall(). */
    void admit(const CallRequest &request);

    /** Takes the end of an attempt that was started. */
    void attemptEnded(AttemptId id, const AttemptReport &report);

    /**
     * Takes the end of a probe that was started.
     * @param load of the upstream, if it answered with it
     */
    void probeEnded(const UpstreamId &id, bool healthy,
                    const std::optional<LoadReport> &load = std::nullopt);

    /** Bounds the extra attempts of a class that may follow each other after a calm time. */
    void setRepeatBurst(double permits);

    /** The caller of @p id left; its attempts are cancelled. */
    void callerLeft(CallId id);

    /** Stops new attempts and probes while the control state is stale; queued calls wait. */
    void setDispatchAllowed(bool allowed);

    std::size_t queuedCalls() const;
    std::size_t openCalls() const { return this->calls.size(); }
    /** Attempts whose end was not reported yet, those of finished calls included. */
    std::size_t openAttempts() const { return this->attempts.size(); }
    /** Slots of all upstreams that this entry's attempts occupy. */
    std::size_t usedSlots() const { return this->upstreams.usedSlots(); }

private:
    static constexpr double DefaultRepeatBurst = 10;

    /** Budgets of a class; they outlast configuration changes. */
    struct ClassBudgets
    {
        CallBudget retries;
        CallBudget hedges;
    };
    struct Service
    {
        CallQueue queue;
        ServiceTimeEstimate times;
    };

    Reason checkLoad(const ClassTarget &target, const CallRequest &request);
    bool checkRepeat(const ClassTarget &target, unsigned attempt);
    ClassBudgets &budgetsOf(const ClassName &name);
    void enqueue(OpenCall &call);
    void startWaiting(const ServiceName &service);
    bool startQueued(OpenCall &call);
    bool survey(OpenCall &call);
    bool isExpectedLate(const OpenCall &call, const UpstreamView &view, double tolerance) const;
    bool mayRefuse(const OpenCall &call) const;
    void placeSurveyed(CallId id);
    void place(OpenCall &call);
    ServiceName drawService(const ClassTarget &target);
    void startAttempt(OpenCall &call, UpstreamView &view, bool hedge);
    void armHedge(const OpenCall &call, const UpstreamView &view);
    void hedge(CallId id);
    /** Passes on an answer, or tries elsewhere after a server error. */
    void takeAnswer(OpenCall &call, AttemptId id, const AttemptReport &report);
    /** Spends a permit of the retry budget, if the call has attempts and time left. */
    bool spendRetry(const OpenCall &call);
    /** @param queuedThere whether the attempt went out above the upstream's slots */
    void attemptFailed(OpenCall &call, const AttemptReport &report, bool queuedThere);
    void expire(CallId id);
    void abandon(OpenCall &call, Reason reason);
    void finish(OpenCall &call, Outcome outcome, Reason reason, AttemptId winner);
    std::vector<UpstreamView *> usableUpstreams(const ServiceName &service);
    std::vector<UpstreamView *> candidates(const OpenCall &call);

    const Clock &clock;
    Random &random;
    TimerService &timers;
    DispatcherOutput &output;
    std::unique_ptr<SelectionPolicy> policy;
    DispatcherOptions options;
    Declaration declaration;
    std::set<ServiceName> repeatableServices; ///< services with a class that may be repeated
    UpstreamSet upstreams;
    HedgeTimer hedgeTimer;
    LoadSurvey loadSurvey;
    double repeatBurst = DefaultRepeatBurst;
    std::unordered_map<CallId, std::unique_ptr<OpenCall>> calls;
    std::unordered_map<AttemptId, OpenAttempt> attempts;
    std::map<ServiceName, Service> services;
    std::map<ClassName, ClassBudgets> budgets;
    std::map<ClassName, WorkTimeEstimate> workTimes; ///< at shared upstreams only
    AttemptId lastAttempt;
    bool dispatchAllowed = true;
};

} // namespace bronzeshed

#endif
