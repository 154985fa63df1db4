#include "metrics/metricshub.h"

#include "metrics/processmetrics.h"
#include "metrics/textexposition.h"

namespace bronzeshed {

MetricsHub::MetricsHub(std::size_t ringCapacity)
    : ring(ringCapacity, unusedWakeup)
{
}

void MetricsHub::record(MetricEvent event)
{
    if (!this->ring.tryPush(event)) {
        ++this->dropped;
    }
}

void MetricsHub::drain(TimePoint now)
{
    const std::lock_guard lock(this->mutex);
    while (const auto event = this->ring.tryPop()) {
        std::visit([&](const auto &measured) { this->add(measured, now); }, *event);
    }
}

void MetricsHub::add(const CallMeasured &call, TimePoint now)
{
    ClassMetrics &metrics = this->classes[call.className];
    ++metrics.outcomes[{call.outcome, call.reason}];
    metrics.latency.add(call.latency, now);
    if (call.outcome == "answered" && call.latency <= call.target) {
        ++metrics.withinTarget;
    }
}

void MetricsHub::add(const AttemptMeasured &attempt, TimePoint now)
{
    UpstreamMetrics &metrics = this->upstreams[attempt.upstream];
    ++metrics.attempts[attempt.status];
    metrics.retries += attempt.retry ? 1 : 0;
    metrics.hedges += attempt.hedge ? 1 : 0;
    metrics.crossRegionBytes += attempt.crossRegionBytes.value();
    metrics.latency.add(attempt.latency, now);
}

void MetricsHub::add(const ProbeMeasured &probe, TimePoint /*now*/)
{
    UpstreamMetrics &metrics = this->upstreams[probe.upstream];
    ++metrics.probes;
    metrics.probeBytes += probe.bytes.value();
}

std::string MetricsHub::render()
{
    const std::lock_guard lock(this->mutex);
    TextExposition output;
    output.begin("bronzeshed_calls_total", "counter", "Calls by class, outcome and reason.");
    for (const auto &[name, metrics] : this->classes) {
        for (const auto &[key, count] : metrics.outcomes) {
            output.sample({{"class", name.value()}, {"outcome", key.first}, {"reason", key.second}},
                          static_cast<double>(count));
        }
    }
    output.begin("bronzeshed_calls_within_target_total", "counter",
                 "Calls answered within the target of their class.");
    for (const auto &[name, metrics] : this->classes) {
        output.sample({{"class", name.value()}}, static_cast<double>(metrics.withinTarget));
    }
    output.begin("bronzeshed_call_seconds", "summary", "Time from arrival to outcome.");
    for (const auto &[name, metrics] : this->classes) {
        output.summary({"class", name.value()}, metrics.latency);
    }
    output.begin("bronzeshed_attempts_total", "counter", "Attempts by upstream and end.");
    for (const auto &[id, metrics] : this->upstreams) {
        for (const auto &[status, count] : metrics.attempts) {
            output.sample({{"upstream", id.value()}, {"status", status}},
                          static_cast<double>(count));
        }
    }
    output.begin("bronzeshed_attempt_seconds", "summary", "Time of attempts by upstream.");
    for (const auto &[id, metrics] : this->upstreams) {
        output.summary({"upstream", id.value()}, metrics.latency);
    }
    const auto writeTotals
        = [&](std::string_view name, std::string_view help, std::uint64_t UpstreamMetrics::*field) {
              output.begin(name, "counter", help);
              for (const auto &[id, metrics] : this->upstreams) {
                  output.sample({{"upstream", id.value()}}, static_cast<double>(metrics.*field));
              }
          };
    writeTotals("bronzeshed_retries_total", "Attempts that repeat an earlier one.",
                &UpstreamMetrics::retries);
    writeTotals("bronzeshed_hedges_total", "Attempts that ran beside another one.",
                &UpstreamMetrics::hedges);
    writeTotals("bronzeshed_probes_total", "Probes sent.", &UpstreamMetrics::probes);
    writeTotals("bronzeshed_probe_bytes_total", "Bytes of probes.", &UpstreamMetrics::probeBytes);
    writeTotals("bronzeshed_cross_region_bytes_total", "Bytes exchanged with other regions.",
                &UpstreamMetrics::crossRegionBytes);
    output.begin("bronzeshed_metric_events_dropped_total", "counter",
                 "Metric events lost because their ring was full.");
    output.sample({}, static_cast<double>(this->dropped.load()));
    writeProcessMetrics(output);
    return output.text();
}

} // namespace bronzeshed
