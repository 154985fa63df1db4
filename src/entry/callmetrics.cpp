#include "entry/callmetrics.h"

#include "base/logline.h"

namespace bronzeshed {

namespace {

/** Returns the counts of a single call with the given outcome. */
CallCounts countsFor(Outcome outcome, bool inTime)
{
    CallCounts one;
    switch (outcome) {
    case Outcome::Answered:
        ++(inTime ? one.withinTarget : one.late);
        break;
    case Outcome::NotRun:
        ++one.notRun;
        break;
    case Outcome::Unknown:
        ++one.unknown;
        break;
    case Outcome::Invalid:
        break;
    }
    return one;
}

} // namespace

CallMetrics::CallMetrics(MetricsHub &hub, const Clock &clock, RegionName ownRegion,
                         UnknownOutcomeRepeats repeats)
    : hub(hub)
    , clock(clock)
    , ownRegion(std::move(ownRegion))
    , repeats(repeats)
{
}

void CallMetrics::attemptStarted(const AttemptOrder &order, std::size_t requestBytes)
{
    RunningAttempt attempt;
    attempt.upstream = order.upstream.id;
    attempt.start = this->clock.now();
    attempt.hedge = order.hedge;
    attempt.retry = order.retry;
    attempt.crossRegion = order.upstream.region != this->ownRegion;
    attempt.requestBytes = requestBytes;
    this->runningAttempts.emplace(order.attempt, std::move(attempt));
}

void CallMetrics::attemptEnded(AttemptId id, const AttemptReport &report, std::size_t responseBytes)
{
    const auto found = this->runningAttempts.find(id);
    if (found == this->runningAttempts.end()) {
        return;
    }
    const RunningAttempt &attempt = found->second;
    AttemptMeasured measured;
    measured.upstream = attempt.upstream;
    measured.status = attemptStatusName(report.status);
    measured.latency = this->clock.now() - attempt.start;
    measured.retry = attempt.retry;
    measured.hedge = attempt.hedge;
    if (attempt.crossRegion) {
        measured.crossRegionBytes = ByteCount(attempt.requestBytes + responseBytes);
    }
    this->runningAttempts.erase(found);
    this->hub.record(std::move(measured));
}

void CallMetrics::probeSent(const UpstreamId &upstream, std::size_t bytes)
{
    this->hub.record(ProbeMeasured{upstream, ByteCount(bytes)});
}

void CallMetrics::callFinished(const CallHeaders &headers, const ClassTarget *target,
                               TimePoint arrival, Outcome outcome, Reason reason)
{
    CallMeasured measured;
    // All undeclared names share one label. Otherwise callers could create any number of time
    // series.
    measured.className = target == nullptr ? ClassName("undeclared") : headers.className;
    measured.outcome = outcomeName(outcome);
    measured.reason = reasonName(reason);
    measured.latency = this->clock.now() - arrival;
    measured.target = target == nullptr ? Duration::zero() : Duration(target->answerWithin);
    if (target != nullptr) {
        this->countCall(*target, outcome, measured.latency);
    }
    if (outcome == Outcome::Unknown && this->repeats == UnknownOutcomeRepeats::Safe) {
        LogLine("call_outcome_unknown", LogLevel::Warning)
            .add("class", measured.className.value())
            .add("caller", headers.caller.value())
            .add("request_id", headers.requestId.value())
            .add("reason", measured.reason)
            .add("remedy", reasonRemedy(reason));
    }
    this->hub.record(std::move(measured));
}

void CallMetrics::countCall(const ClassTarget &target, Outcome outcome, Duration latency)
{
    auto found = this->targetWindows.find(target.name);
    if (found == this->targetWindows.end()) {
        const TargetWindow fresh{target.answerWithin, CallWindow(this->clock)};
        found = this->targetWindows.emplace(target.name, fresh).first;
    }
    found->second.window.add(countsFor(outcome, latency <= target.answerWithin));
}

void CallMetrics::declarationChanged(const Declaration &declaration)
{
    std::erase_if(this->targetWindows, [&](const auto &item) {
        const auto found = declaration.classes.find(item.first);
        return found == declaration.classes.end()
            || item.second.target != found->second.answerWithin;
    });
}

CallCountsByClass CallMetrics::lastMinute() const
{
    CallCountsByClass counts;
    for (const auto &[name, item] : this->targetWindows) {
        const CallCounts sum = item.window.counts();
        if (sum.calls() > 0) {
            counts[name] = sum;
        }
    }
    return counts;
}

} // namespace bronzeshed
