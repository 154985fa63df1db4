#ifndef BRONZESHED_ROUTING_UPSTREAMSET_H
#define BRONZESHED_ROUTING_UPSTREAMSET_H

#include "base/timerservice.h"
#include "routing/dispatcheroptions.h"
#include "routing/dispatcheroutput.h"
#include "routing/probebudget.h"
#include "routing/queuedattempts.h"
#include "routing/upstreamhealth.h"
#include "routing/upstreamview.h"

#include <functional>
#include <map>
#include <vector>

namespace bronzeshed {

/** Upstream and start time of an attempt in progress. */
struct AttemptPlacement
{
    UpstreamId upstream;
    std::uint64_t generation = 0; ///< distinguishes a replaced upstream from its predecessor
    TimePoint startedAt;
    std::optional<QueuedAttemptId>
        queued; ///< set if the attempt was sent while all slots were in use
};

/**
 * The upstreams of all services with the state of each: slots in use, health, slow start and
 * service time. Ejects, probes and readmits upstreams.
 */
class UpstreamSet
{
public:
    /** Called when an upstream of @p service becomes usable again. */
    using UsableCallback = std::function<void(const ServiceName &service)>;

    UpstreamSet(const Clock &clock, TimerService &timers, DispatcherOutput &output,
                const DispatcherOptions &options, UsableCallback becameUsable);
    ~UpstreamSet();
    UpstreamSet(const UpstreamSet &) = delete;
    UpstreamSet &operator=(const UpstreamSet &) = delete;

    void update(const std::vector<UpstreamInfo> &listed, const MeasuringBudget &budget);

    /**
     * Returns the upstreams that accept attempts: those of the own region, or all if the own region
     * has none or @p overloaded is set.
     * @param mean service time of the service, used to detect slow upstreams
     */
    std::vector<UpstreamView *> candidates(const ServiceName &service, std::optional<Duration> mean,
                                           bool overloaded);

    AttemptPlacement startAttempt(UpstreamView &view);

    /**
     * @param answerWithin latency target of the call; a longer attempt counts as late
     * @return the service time without the wait at the upstream, or nothing if the upstream was
     * removed or replaced, or refused an attempt for which it had no free slot
     */
    std::optional<Duration> attemptEnded(const AttemptPlacement &placement,
                                         const AttemptReport &report, Duration answerWithin);

    void probeEnded(const UpstreamId &id, bool healthy);

    /**
     * Handles the answer to a load probe, or its absence.
     * @return the upstream, or nullptr if it was removed
     */
    UpstreamView *loadReported(const UpstreamId &id, const std::optional<LoadReport> &load);

    std::size_t usedSlots() const;

    /** Whether probes and trial calls may be sent. */
    void setProbingAllowed(bool allowed) { this->probingAllowed = allowed; }

private:
    struct Upstream
    {
        UpstreamView view;
        UpstreamHealth health;
        QueuedAttempts queued;
        std::uint64_t generation = 0;
        TimePoint slowStartSince;
        unsigned answers = 0; ///< successful attempts since slowStartSince
        unsigned samples = 0; ///< number of recorded service times
        TimePoint sampledAt;
        TimerId timer; ///< fires at the end of the ejection or at the timeout of the probe
        bool probeFailed = false; ///< the last probe of this ejection failed
    };

    void resetUpstream(Upstream &upstream, const UpstreamInfo &info, bool slowStart);
    void updateView(Upstream &upstream, std::optional<Duration> mean) const;
    TimePoint serviceStart(Upstream &upstream, const AttemptPlacement &placement) const;
    void recordLoad(UpstreamView &view, const LoadReport &load) const;
    void recordTime(Upstream &upstream, Duration time);
    void recordOutcome(Upstream &upstream, const AttemptReport &report, bool ranLate);
    void recordFailure(Upstream &upstream);
    void recordSuccess(Upstream &upstream);
    void scheduleReadmission(Upstream &upstream, Duration delay);
    void endEjection(const UpstreamId &id);
    bool startProbe(Upstream &upstream);

    const Clock &clock;
    TimerService &timers;
    DispatcherOutput &output;
    DispatcherOptions options;
    UsableCallback becameUsable;
    ProbeBudget budget;
    std::map<UpstreamId, Upstream> upstreams;
    std::map<ServiceName, std::vector<Upstream *>> byService;
    std::uint64_t lastGeneration = 0;
    bool probingAllowed = true;
};

} // namespace bronzeshed

#endif
