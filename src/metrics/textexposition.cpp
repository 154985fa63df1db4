#include "metrics/textexposition.h"

#include <iomanip>
#include <limits>

namespace bronzeshed {

namespace {

std::string escapeLabel(std::string_view value)
{
    std::string escaped;
    for (const char character : value) {
        if (character == '\\' || character == '"') {
            escaped += '\\';
            escaped += character;
        } else if (character == '\n') {
            escaped += "\\n";
        } else {
            escaped += character;
        }
    }
    return escaped;
}

} // namespace

void TextExposition::begin(std::string_view name, std::string_view type, std::string_view help)
{
    this->current = name;
    this->output << "# HELP " << name << ' ' << help << "\n# TYPE " << name << ' ' << type << '\n';
}

void TextExposition::sample(std::initializer_list<MetricLabel> labels, double value)
{
    this->write("", labels, value);
}

void TextExposition::summary(const MetricLabel &label, const LatencySummary &latency)
{
    const LatencyQuantiles quantiles = latency.quantiles();
    this->write("", {label, {"quantile", "0.5"}}, quantiles.p50);
    this->write("", {label, {"quantile", "0.99"}}, quantiles.p99);
    this->write("", {label, {"quantile", "0.999"}}, quantiles.p999);
    this->write("_sum", {label}, latency.sum());
    this->write("_count", {label}, static_cast<double>(latency.count()));
}

void TextExposition::write(std::string_view suffix, std::initializer_list<MetricLabel> labels,
                           double value)
{
    this->output << this->current << suffix;
    char separator = '{';
    for (const auto &[name, text] : labels) {
        this->output << separator << name << "=\"" << escapeLabel(text) << '"';
        separator = ',';
    }
    this->output << (separator == ',' ? "} " : " ")
                 << std::setprecision(std::numeric_limits<double>::digits10) << value << '\n';
}

} // namespace bronzeshed
