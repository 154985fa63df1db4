#ifndef BRONZESHED_METRICS_TEXTEXPOSITION_H
#define BRONZESHED_METRICS_TEXTEXPOSITION_H

#include "metrics/latencysummary.h"

#include <initializer_list>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>

namespace bronzeshed {

/** Name and value of a sample label. */
using MetricLabel = std::pair<std::string_view, std::string_view>;

/** Writes metrics in the Prometheus text exposition format. */
class TextExposition
{
public:
    /**
     * Writes the header of a metric. Later samples belong to it until the next call.
     * @param type counter, gauge or summary
     */
    void begin(std::string_view name, std::string_view type, std::string_view help);

    void sample(std::initializer_list<MetricLabel> labels, double value);
    /** Writes the quantiles (seconds), the sum and the count of a summary with one label. */
    void summary(const MetricLabel &label, const LatencySummary &latency);

    std::string text() const { return this->output.str(); }

private:
    void write(std::string_view suffix, std::initializer_list<MetricLabel> labels, double value);

    std::ostringstream output;
    std::string current;
};

} // namespace bronzeshed

#endif
