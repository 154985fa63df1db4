#include "model/modeltable.h"

#include <iomanip>

namespace bronzeshed {

namespace {

constexpr double P50 = 0.5;
constexpr double P99 = 0.99;
constexpr double P999 = 0.999;
constexpr double Percent = 100;

double milliseconds(Duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

} // namespace

void printTableHead(std::ostream &out)
{
    out << "| load % | policy | p50 ms | p99 ms | p99.9 ms | in target % | refused % | hedges % | "
           "retries % | cancelled work % | probes per call | probe time % | least class % | "
           "p99 / ideal |\n"
        << "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n";
}

void printTableRow(std::ostream &out, double load, std::string_view policy,
                   const ModelResult &result, Duration ideal)
{
    const auto calls = static_cast<double>(result.calls());
    const double p99 = milliseconds(result.quantile(P99));
    out << std::fixed << "| " << std::setprecision(0) << load * Percent << " | " << policy << " | "
        << std::setprecision(2) << milliseconds(result.quantile(P50)) << " | " << p99 << " | "
        << milliseconds(result.quantile(P999)) << " | " << result.shareWithinTarget() * Percent
        << " | " << result.shareNotRun() * Percent << " | " << result.hedges / calls * Percent
        << " | " << result.retries / calls * Percent << " | " << result.cancelledShare * Percent
        << " | " << std::setprecision(6) << result.probes / calls << " | " << std::setprecision(3)
        << result.probeShare * Percent << " | " << std::setprecision(1)
        << result.leastServedShare() * Percent << " | " << std::setprecision(2)
        << p99 / milliseconds(ideal) << " |" << std::endl;
}

} // namespace bronzeshed
