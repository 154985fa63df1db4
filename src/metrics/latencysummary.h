#ifndef BRONZESHED_METRICS_LATENCYSUMMARY_H
#define BRONZESHED_METRICS_LATENCYSUMMARY_H

#include "base/clock.h"

#include <cstdint>
#include <memory>

namespace bronzeshed {

/** Latency quantiles in seconds. */
struct LatencyQuantiles
{
    double p50 = 0.0;
    double p99 = 0.0;
    double p999 = 0.0;
};

/**
 * Latency statistics. Quantiles cover one window of time and are estimated by the P-square
 * algorithm of Boost.Accumulators, which stores five markers per quantile instead of the samples.
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

    /** Returns the quantiles of the last complete window, or of the current one before that. */
    LatencyQuantiles quantiles() const;
    /** Number of samples since construction. */
    std::uint64_t count() const { return this->samples; }
    /** Sum of all samples since construction, in seconds. */
    double sum() const { return this->total; }

private:
    struct Accumulator;

    /** Starts a new window if the current one is complete or the first sample is added. */
    void rotate(TimePoint now);

    std::unique_ptr<Accumulator> current;
    std::unique_ptr<Accumulator> lastComplete;
    TimePoint windowStart;
    std::uint64_t samples = 0;
    double total = 0.0;
};

} // namespace bronzeshed

#endif
