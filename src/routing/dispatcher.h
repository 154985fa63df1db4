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
#include "routing/loadproberound.h"
#include "routing/selectionpolicy.h"
#include "routing/servicetimeestimate.h"
#include "routing/upstreamset.h"
#include "routing/worktimetable.h"

#include <map>
#include <memory>
#include <set>
#include <unordered_map>

namespace bronzeshed {

struct OpenAttempt;
struct OpenCall;

/** A call to be dispatched. */
struct CallRequest
{
    CallId id;
    ClassName className;
    Duration timeLeft = Duration::zero(); ///< until the caller's deadline
    unsigned depth = 0;
    unsigned attempt = 0; ///< number of earlier attempts by the caller
    Duration waited = Duration::zero(); ///< since the arrival of the call
};

/**
 * Decides for each call whether, when and at which upstream it runs. Uses no sockets, threads, wall
 * clock or global random generator, and reports every decision through DispatcherOutput. The output
 * must not call the dispatcher from within its functions.
 */
class Dispatcher
{
public:
    Dispatcher(const Clock &clock, Random &random, TimerService &timers, DispatcherOutput &output,
               std::unique_ptr<SelectionPolicy> policy, DispatcherOptions options);
    ~Dispatcher();
    Dispatcher(const Dispatcher &) = delete;
    Dispatcher &operator=(const Dispatcher &) = delete;

    /** Applies a new configuration and a new list of upstreams. */
    void update(const Declaration &declaration, const std::vector<UpstreamInfo> &upstreams);

    /** Queues or refuses a call. Every call ends with exactly one finishCall(). */
    void admit(const CallRequest &request);

    /** Handles the end of an attempt started through the output. */
    void attemptEnded(AttemptId id, const AttemptReport &report);

    /**
     * Handles the end of a probe started through the output.
     * @param load the load reported by the upstream, if the answer contained it
     */
    void probeEnded(const UpstreamId &id, bool healthy,
                    const std::optional<LoadReport> &load = std::nullopt);

    /**
     * Sets the maximum of the retry budget and of the hedge budget of each class, in permits. This
     * bounds the extra attempts that may follow each other after a calm time.
     */
    void setRepeatBurst(double permits);

    /** Sets the work times that other entries measured at the shared upstreams. */
    void setSharedWorkTimes(WorkTimes times) { this->workTimes.setShared(std::move(times)); }
    /** The work times that this entry measured. */
    WorkTimes ownWorkTimes() const { return this->workTimes.own(); }

    /** Finishes call @p id and cancels its attempts, because its caller left. */
    void callerLeft(CallId id);

    /** Disables new attempts and probes, for a stale control state. Queued calls keep waiting. */
    void setDispatchAllowed(bool allowed);

    std::size_t queuedCalls() const;
    std::size_t openCalls() const { return this->calls.size(); }
    /** Number of attempts whose end was not reported yet, including those of finished calls. */
    std::size_t openAttempts() const { return this->attempts.size(); }
    /** Number of upstream slots occupied by the attempts of this entry. */
    std::size_t usedSlots() const { return this->upstreams.usedSlots(); }

private:
    static constexpr double DefaultRepeatBurst = 10;

    /** Retry and hedge budgets of a class, kept across configuration changes. */
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
    void startQueuedCalls(const ServiceName &service);
    bool tryStartQueuedCall(OpenCall &call);
    bool startLoadProbes(OpenCall &call);
    bool isExpectedLate(const OpenCall &call, const UpstreamView &view, double tolerance) const;
    /** Upstreams for a call: those with a current load report, or all if there is none. */
    std::vector<UpstreamView *> placementCandidates(const OpenCall &call);
    bool mayRefuse(const OpenCall &call) const;
    void placeAfterLoadProbes(CallId id);
    void place(OpenCall &call);
    ServiceName selectService(const ClassTarget &target);
    void startAttempt(OpenCall &call, UpstreamView &view, bool hedge);
    void armHedge(const OpenCall &call, const UpstreamView &view);
    void startHedge(CallId id);
    /** Finishes the call with an answer, or retries it at another upstream on a server error. */
    void handleAnswer(OpenCall &call, AttemptId id, const AttemptReport &report);
    /** Spends a permit of the retry budget if the call has attempts and time left. */
    bool spendRetry(const OpenCall &call);
    /** @param queuedAtUpstream whether the attempt was sent while all slots of the upstream were in
     * use
     */
    void attemptFailed(OpenCall &call, const AttemptReport &report, bool queuedAtUpstream);
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
    std::set<ServiceName> repeatableServices; ///< services with at least one repeatable class
    UpstreamSet upstreams;
    HedgeTimer hedgeTimer;
    LoadProbeRound loadProbeRound;
    double repeatBurst = DefaultRepeatBurst;
    std::unordered_map<CallId, std::unique_ptr<OpenCall>> calls;
    std::unordered_map<AttemptId, OpenAttempt> attempts;
    std::map<ServiceName, Service> services;
    std::map<ClassName, ClassBudgets> budgets;
    WorkTimeTable workTimes; ///< used for shared upstreams only
    AttemptId lastAttempt;
    bool dispatchAllowed = true;
};

} // namespace bronzeshed

#endif
