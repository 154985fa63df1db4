#include "metrics/latencysummary.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace bronzeshed {

namespace accumulators = boost::accumulators;

namespace {

using QuantileSet
    = accumulators::accumulator_set<double,
                                    accumulators::stats<accumulators::tag::p_square_quantile>>;

QuantileSet makeQuantile(double probability)
{
    return QuantileSet(accumulators::quantile_probability = probability);
}

} // namespace

struct LatencySummary::Accumulator
{
    QuantileSet p50 = makeQuantile(0.5);
    QuantileSet p99 = makeQuantile(0.99);
    QuantileSet p999 = makeQuantile(0.999);
};

LatencySummary::LatencySummary()
    : current(std::make_unique<Accumulator>())
{
}

LatencySummary::~LatencySummary() = default;
LatencySummary::LatencySummary(LatencySummary &&) noexcept = default;
LatencySummary &LatencySummary::operator=(LatencySummary &&) noexcept = default;

void LatencySummary::add(Duration latency, TimePoint now)
{
    this->rotate(now);
    const double seconds = std::chrono::duration<double>(latency).count();
    this->current->p50(seconds);
    this->current->p99(seconds);
    this->current->p999(seconds);
    ++this->samples;
    this->total += seconds;
}

void LatencySummary::rotate(TimePoint now)
{
    if (this->samples == 0) {
        this->windowStart = now;
        return;
    }
    if (now - this->windowStart < Window) {
        return;
    }
    this->lastComplete = std::exchange(this->current, std::make_unique<Accumulator>());
    this->windowStart = now;
}

LatencyQuantiles LatencySummary::quantiles() const
{
    if (this->samples == 0) {
        return {};
    }
    const Accumulator &source = this->lastComplete ? *this->lastComplete : *this->current;
    return {accumulators::p_square_quantile(source.p50),
            accumulators::p_square_quantile(source.p99),
            accumulators::p_square_quantile(source.p999)};
}

} // namespace bronzeshed
