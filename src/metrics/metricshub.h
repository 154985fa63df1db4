#ifndef BRONZESHED_METRICS_METRICSHUB_H
#define BRONZESHED_METRICS_METRICSHUB_H

#include "base/eventring.h"
#include "metrics/latencysummary.h"
#include "metrics/metricevent.h"

#include <atomic>
#include <map>
#include <mutex>
#include <string>

namespace bronzeshed {

/**
 * Aggregates the metrics of an entry. The decision thread records events in a bounded ring; drain()
 * and render() may be called from other threads.
 */
class MetricsHub
{
public:
    explicit MetricsHub(std::size_t ringCapacity);

    /** Records an event, or counts it as dropped if the ring is full. Single producer thread only.
     */
    void record(MetricEvent event);

    /** Aggregates the recorded events. Must be called several times a second to keep the ring free.
     */
    void drain(TimePoint now);

    /** Returns all metrics, process metrics included, in the text exposition format. */
    std::string render();

    std::uint64_t droppedEvents() const { return this->dropped.load(); }

private:
    struct ClassMetrics
    {
        std::map<std::pair<std::string_view, std::string_view>, std::uint64_t> outcomes;
        std::uint64_t withinTarget = 0;
        LatencySummary latency;
    };
    struct UpstreamMetrics
    {
        std::map<std::string_view, std::uint64_t> attempts;
        std::uint64_t retries = 0;
        std::uint64_t hedges = 0;
        std::uint64_t crossRegionBytes = 0;
        std::uint64_t probes = 0;
        std::uint64_t probeBytes = 0;
        LatencySummary latency;
    };

    void add(const CallMeasured &call, TimePoint now);
    void add(const AttemptMeasured &attempt, TimePoint now);
    void add(const ProbeMeasured &probe, TimePoint now);

    Wakeup unusedWakeup; ///< required by the ring, which drain() polls
    EventRing<MetricEvent> ring;
    std::atomic<std::uint64_t> dropped{0};
    std::mutex mutex;
    std::map<ClassName, ClassMetrics> classes;
    std::map<UpstreamId, UpstreamMetrics> upstreams;
};

} // namespace bronzeshed

#endif
