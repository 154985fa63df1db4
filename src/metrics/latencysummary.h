#ifndef BRONZESHED_METRICS_LATENCYSUMMARY_H
#define BRONZESHED_METRICS_LATENCYSUMMARY_H

#include "base/clock.h"

#include <cstdint>
#include <memory>

namespace bronzeshed {

/** Quantiles of a latency, in seconds. */
struct LatencyQuantiles
{
    double p50 = 0.0;
    double p99 = 0.0;
    double p999 = 0.0;
};

/**
 * Latency over the newest one to two windows. Quantiles are estimated by the P-square algorithm of
 * Boost.Accumulators, which keeps five markers a quantile instead of the samples.
 */
class LatencySummary
{
public:
    static constexpr std::chrono::seconds Window{60};

    LatencySummary();
    ~LatencySummary();
    LatencySummary(LatencySummary &&) noexcept;
    LatencySummary &operator=(LatencySummary &&) noexcept;

    void add(Duration latency, TimePoint now);

    /** Quantiles of the last full window, or of the current one if there is no full one yet. */
    LatencyQuantiles quantiles() const;
    /** Samples since the start. */
    std::uint64_t count() const { return this->samples; }
    /** Sum of all samples since the start, in seconds. */
    double sum() const { return this->total; }

private:
    struct Accumulator;

    void rotate(TimePoint now);

    std::unique_ptr<Accumulator> current;
    std::unique_ptr<Accumulator> lastFull;
    TimePoint windowStart;
    std::uint64_t samples = 0;
    double total = 0.0;
};

} // namespace bronzeshed

#endif
