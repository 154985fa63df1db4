#ifndef BRONZESHED_ROUTING_DISPATCHER_H
#define BRONZESHED_ROUTING_DISPATCHER_H

#include "base/clock.h"
#include "base/random.h"
#include "base/strongnumber.h"
#include "base/timerservice.h"
#include "config/declaration.h"
#include "membership/controlstate.h"
#include "requests/outcome.h"
#include "routing/dispatcheroutput.h"
#include "routing/selectionpolicy.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>

namespace bronzeshed {

/** A request that asks to be dispatched. */
struct CallRequest
{
    CallId id;
    ClassName className;
    Duration timeLeft = Duration::zero(); ///< until the caller's deadline
    unsigned depth = 0;
    unsigned attempt = 0; ///< how often the caller tried before
};

/** Bounds and constants of a dispatcher. */
struct DispatcherOptions
{
    std::size_t maxCalls = 4096; ///< queued and in flight together
    unsigned slotsPerUpstream = 2;
    RegionName region; ///< of this entry
    ZoneName zone; ///< of this entry
};

/**
 * Decides for each call whether, when and where it runs. Uses no sockets, threads, wall clock or
 * global randomness; everything it decides leaves through DispatcherOutput.
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

    /** The caller of @p id left; its attempts are cancelled. */
    void callerLeft(CallId id);

    std::size_t queuedCalls() const;
    std::size_t openCalls() const { return this->calls.size(); }

private:
    struct Call;
    struct Attempt;
    /** Order of a queue: earliest deadline first. */
    using QueueKey = std::pair<TimePoint, CallId>;

    void startWaiting(const ServiceName &service);
    bool startAttempt(Call &call);
    void finish(Call &call, Outcome outcome, Reason reason, AttemptId winner);
    void handleFailure(Call &call, const AttemptReport &report);
    void expire(CallId id);
    std::vector<UpstreamView *> candidates(const ServiceName &service);

    const Clock &clock;
    Random &random;
    TimerService &timers;
    DispatcherOutput &output;
    std::unique_ptr<SelectionPolicy> policy;
    DispatcherOptions options;
    Declaration declaration;
    std::map<UpstreamId, UpstreamView> upstreams;
    std::unordered_map<CallId, std::unique_ptr<Call>> calls;
    std::unordered_map<AttemptId, Attempt> attempts;
    std::map<ServiceName, std::set<QueueKey>> queues;
    AttemptId lastAttempt;
};

} // namespace bronzeshed

#endif
