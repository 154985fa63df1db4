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

/** Where and since when an attempt occupies a slot. */
struct AttemptPlace
{
    UpstreamId upstream;
    std::uint64_t generation = 0; ///< tells a replaced upstream from the one before it
    TimePoint startedAt;
    std::optional<QueuedAttemptId> queued; ///< set if the attempt went out above the slots
};

/**
 * The upstreams of all services with what is learnt about each: slots in use, health, slow start
 * and service time. Ejects, probes and readmits them.
 */
class UpstreamSet
{
public:
    /** Called when an upstream of @p service may take work again. */
    using ReadyCallback = std::function<void(const ServiceName &service)>;

    UpstreamSet(const Clock &clock, TimerService &timers, DispatcherOutput &output,
                const DispatcherOptions &options, ReadyCallback ready);
    ~UpstreamSet();
    UpstreamSet(const UpstreamSet &) = delete;
    UpstreamSet &operator=(const UpstreamSet &) = delete;

    void update(const std::vector<UpstreamInfo> &listed, const MeasuringBudget &budget);

    /**
     * The upstreams that may take an attempt: those of the own region, or all if the own region
     * has none or @p overloaded is set.
     * @param mean service time of the service, to tell which upstreams are slow
     */
    std::vector<UpstreamView *> candidates(const ServiceName &service, std::optional<Duration> mean,
                                           bool overloaded);

    AttemptPlace startAttempt(UpstreamView &view);

    /**
     * @param answerWithin target of the call; a longer attempt counts as late
     * @return the service time, without a wait at the upstream; nothing if the upstream is gone
     */
    std::optional<Duration> attemptEnded(const AttemptPlace &place, const AttemptReport &report,
                                         Duration answerWithin);

    void probeEnded(const UpstreamId &id, bool healthy);

    /**
     * Takes the answer to a load query, or its absence.
     * @return the upstream, or nullptr if it is gone
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
        TimePoint coldSince;
        unsigned answers = 0; ///< since coldSince
        unsigned samples = 0; ///< of the service time
        TimePoint sampledAt;
        TimerId timer; ///< end of the ejection or of the probe
        bool probeFailed = false; ///< the last probe of this ejection failed
    };

    void add(Upstream &upstream, const UpstreamInfo &info, bool slowStart);
    void refresh(Upstream &upstream, std::optional<Duration> mean) const;
    TimePoint serviceStart(Upstream &upstream, const AttemptPlace &place) const;
    void recordLoad(UpstreamView &view, const LoadReport &load) const;
    void recordTime(Upstream &upstream, Duration time);
    void recordEnd(Upstream &upstream, const AttemptReport &report, bool ranLate);
    void recordFailure(Upstream &upstream);
    void recordSuccess(Upstream &upstream);
    void scheduleReadmission(Upstream &upstream, Duration delay);
    void endEjection(const UpstreamId &id);
    bool startProbe(Upstream &upstream);

    const Clock &clock;
    TimerService &timers;
    DispatcherOutput &output;
    DispatcherOptions options;
    ReadyCallback ready;
    ProbeBudget budget;
    std::map<UpstreamId, Upstream> upstreams;
    std::map<ServiceName, std::vector<Upstream *>> byService;
    std::uint64_t lastGeneration = 0;
    bool probingAllowed = true;
};

} // namespace bronzeshed

#endif
