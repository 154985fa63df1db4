#include "metrics/metricshub.h"
#include "base/random.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <vector>

using namespace bronzeshed;

namespace {

CallMeasured makeCall(std::chrono::milliseconds latency)
{
    return {ClassName("reads"), "answered", "none", latency, std::chrono::milliseconds(50)};
}

} // namespace

BOOST_AUTO_TEST_SUITE(metrics_hub)

// Exponentially distributed latencies have a long tail. Guards against an estimate that is far
// below the exact 0.99 or 0.999 quantile.
BOOST_AUTO_TEST_CASE(estimates_quantiles_within_five_percent)
{
    SeededRandom random(7);
    LatencySummary summary;
    const TimePoint now;
    std::vector<double> exact;
    for (int i = 0; i < 20000; ++i) {
        const double seconds = -std::log(1.0 - random.uniform()) * 0.005;
        exact.push_back(seconds);
        summary.add(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)),
                    now);
    }
    std::sort(exact.begin(), exact.end());
    BOOST_TEST(summary.quantiles().p50 == exact[10000], boost::test_tools::tolerance(0.05));
    BOOST_TEST(summary.quantiles().p99 == exact[19800], boost::test_tools::tolerance(0.05));
    BOOST_TEST(summary.quantiles().p999 == exact[19980], boost::test_tools::tolerance(0.15));
}

// Latencies drop from 1 s in the first window to 1 ms in the later ones. Guards against quantiles
// that still include samples from before the last complete window.
BOOST_AUTO_TEST_CASE(discards_old_windows)
{
    LatencySummary summary;
    TimePoint now;
    for (int window = 0; window < 3; ++window) {
        for (int i = 0; i < 100; ++i) {
            summary.add(std::chrono::milliseconds(window == 0 ? 1000 : 1), now);
        }
        now += LatencySummary::Window;
    }
    BOOST_TEST(summary.quantiles().p99 < 0.1);
    BOOST_TEST(summary.count() == 300U);
}

// More events are recorded between two calls of drain() than the ring holds. Guards against events
// that are lost without being counted as dropped.
BOOST_AUTO_TEST_CASE(counts_dropped_events)
{
    MetricsHub hub(4);
    for (int i = 0; i < 10; ++i) {
        hub.record(makeCall(std::chrono::milliseconds(1)));
    }
    hub.drain(TimePoint());
    const std::string text = hub.render();
    BOOST_TEST(text.find("bronzeshed_calls_total{class=\"reads\",outcome=\"answered\","
                         "reason=\"none\"} 4\n")
               != std::string::npos);
    BOOST_TEST(text.find("bronzeshed_metric_events_dropped_total 6\n") != std::string::npos);
}

// Guards against an answer after the target, here by 1 ms, that is counted as within the target.
BOOST_AUTO_TEST_CASE(counts_calls_within_target)
{
    MetricsHub hub(16);
    hub.record(makeCall(std::chrono::milliseconds(50)));
    hub.record(makeCall(std::chrono::milliseconds(51)));
    hub.drain(TimePoint());
    BOOST_TEST(hub.render().find("bronzeshed_calls_within_target_total{class=\"reads\"} 1\n")
               != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
