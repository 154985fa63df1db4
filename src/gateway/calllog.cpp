#include "gateway/calllog.h"

#include "base/logline.h"

namespace bronzeshed {

namespace {

/** Three lines per call at 100 calls/s, a few times the usual load of an instance. */
constexpr double LinesPerSecond = 300;
constexpr double BurstLines = 600;

double toMilliseconds(Duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

} // namespace

CallLog::CallLog(const Clock &clock)
    : clock(clock)
    , lineBudget(LinesPerSecond, BurstLines, clock.now())
{
}

bool CallLog::mayLog()
{
    if (!this->lineBudget.has(1, this->clock.now())) {
        ++this->droppedLines;
        return false;
    }
    this->lineBudget.take(1);
    if (this->droppedLines > 0) {
        LogLine("log_lines_dropped", LogLevel::Warning).add("count", this->droppedLines);
        this->droppedLines = 0;
    }
    return true;
}

void CallLog::attemptStarted(const RequestId &id, const AttemptOrder &order)
{
    if (!this->mayLog()) {
        return;
    }
    LogLine line("attempt_started");
    line.add("request_id", id.value())
        .add("attempt", order.attempt.value())
        .add("upstream", order.upstream.id.value())
        .add("timeout_ms", toMilliseconds(order.timeout))
        .add("retry", order.retry)
        .add("hedge", order.hedge);
    if (order.load) {
        line.add("running", order.load->running)
            .add("waiting", order.load->waiting)
            .add("work_time_percent", order.load->workTimePercent)
            .add("load_age_ms", toMilliseconds(order.loadAge));
    }
}

void CallLog::attemptEnded(const RequestId &id, AttemptId attempt, const AttemptReport &report)
{
    const bool asExpected = report.isSuccess() && report.connection.skippedResponses == 0;
    if (asExpected || !this->mayLog()) {
        return;
    }
    LogLine(report.isSuccess() ? "responses_skipped" : "attempt_failed", LogLevel::Warning)
        .add("request_id", id.value())
        .add("attempt", attempt.value())
        .add("status", attemptStatusName(report.status))
        .add("http_status", report.httpStatus)
        .add("leaving", report.draining)
        .add("connection", report.connection.number)
        .add("connection_use", report.connection.use)
        .add("skipped_responses", report.connection.skippedResponses);
}

void CallLog::callFinished(const FinishedCall &call)
{
    if (!this->mayLog()) {
        return;
    }
    LogLine("call_finished")
        .add("request_id", call.id.value())
        .add("class", call.className.value())
        .add("outcome", outcomeName(call.outcome))
        .add("reason", reasonName(call.reason))
        .add("status", call.status)
        .add("attempts", call.attempts)
        .add("latency_ms", toMilliseconds(call.latency))
        .add("config_version", call.version.value())
        .add("view_age_ms", toMilliseconds(call.viewAge));
}

} // namespace bronzeshed
