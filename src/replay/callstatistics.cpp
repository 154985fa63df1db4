#include "replay/callstatistics.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace bronzeshed {

namespace {

std::string formatMs(Duration duration)
{
    char text[32];
    std::snprintf(text, sizeof(text), "%.3f",
                  std::chrono::duration<double, std::milli>(duration).count());
    return text;
}

std::uint64_t countOf(const ExecutionCounts &executions, const std::string &id)
{
    const auto found = executions.find(id);
    return found == executions.end() ? 0 : found->second;
}

} // namespace

Duration quantile(const std::vector<Duration> &sorted, double share)
{
    if (sorted.empty()) {
        return Duration::zero();
    }
    const auto rank
        = static_cast<std::size_t>(std::ceil(share * static_cast<double>(sorted.size())));
    return sorted[std::clamp<std::size_t>(rank, 1, sorted.size()) - 1];
}

void ClassStatistics::add(const CallRecord &record, const ExecutionCounts &executions)
{
    ++this->calls;
    this->attempts += record.attempts;
    switch (record.end) {
    case CallEnd::Open:
        ++this->lost;
        break;
    case CallEnd::Answered:
        ++this->answered;
        this->failed += record.upstreamFailed ? 1 : 0;
        this->latencies.push_back(record.latency);
        this->withinTarget += record.latency <= this->target ? 1 : 0;
        break;
    case CallEnd::NotRun:
        ++this->notRun;
        break;
    case CallEnd::Unknown:
        ++this->unknown;
        break;
    case CallEnd::Invalid:
        ++this->invalid;
        break;
    case CallEnd::Wrong:
        ++this->wrong;
        break;
    }
    if (!record.repeatable) {
        this->checkExecutions(record, executions);
    }
}

void ClassStatistics::checkExecutions(const CallRecord &record, const ExecutionCounts &executions)
{
    std::uint64_t runs = 0;
    for (const UsedIdentity &identity : record.identities) {
        const std::uint64_t count = countOf(executions, identity.id);
        runs += count;
        this->ranNotRun += identity.reportedNotRun && count > 0 ? 1 : 0;
    }
    this->doubled += runs > 1 ? 1 : 0;
    // A failing upstream may return an error without executing the request.
    const bool mustHaveRun = record.end == CallEnd::Answered && !record.upstreamFailed;
    this->lost += mustHaveRun && runs == 0 ? 1 : 0;
}

bool ClassStatistics::hasViolation() const
{
    return this->wrong + this->doubled + this->lost + this->invalid + this->ranNotRun > 0;
}

std::string ClassStatistics::line(const std::string &name) const
{
    std::vector<Duration> sorted = this->latencies;
    std::sort(sorted.begin(), sorted.end());
    const auto count = [](std::uint64_t number) { return std::to_string(number); };
    char share[32];
    std::snprintf(share, sizeof(share), "%.4f",
                  this->calls == 0
                      ? 0.0
                      : static_cast<double>(this->withinTarget) / static_cast<double>(this->calls));
    return "class=" + name + " calls=" + count(this->calls) + " answered=" + count(this->answered)
        + " not_run=" + count(this->notRun) + " unknown=" + count(this->unknown)
        + " wrong=" + count(this->wrong) + " doubled=" + count(this->doubled)
        + " p99_ms=" + formatMs(quantile(sorted, 0.99)) + " target_ms=" + formatMs(this->target)
        + " p50_ms=" + formatMs(quantile(sorted, 0.5))
        + " p999_ms=" + formatMs(quantile(sorted, 0.999)) + " lost=" + count(this->lost)
        + " failed=" + count(this->failed) + " invalid=" + count(this->invalid) + " ran_not_run="
        + count(this->ranNotRun) + " attempts=" + count(this->attempts) + " within_target=" + share;
}

} // namespace bronzeshed
