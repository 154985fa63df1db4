#include "entry/upstreamprotocol.h"

#include "base/parsenumber.h"

namespace bronzeshed {

namespace {

std::optional<std::uint64_t> readNumber(const HttpResponse &response, const char *name)
{
    const auto text = response.headers.find(name);
    return text ? parseNumber(*text) : std::nullopt;
}

} // namespace

AttemptStatus toAttemptStatus(ExchangeStatus status)
{
    switch (status) {
    case ExchangeStatus::Answered:
        return AttemptStatus::Answered;
    case ExchangeStatus::NotSent:
        return AttemptStatus::NotSent;
    case ExchangeStatus::Failed:
        return AttemptStatus::Failed;
    case ExchangeStatus::TimedOut:
        return AttemptStatus::TimedOut;
    case ExchangeStatus::Cancelled:
        return AttemptStatus::Cancelled;
    }
    return AttemptStatus::Failed;
}

HttpRequest UpstreamProtocol::probeRequest(const ProbeOrder &order) const
{
    HttpRequest request;
    request.target = order.path;
    return request;
}

AttemptReport NativeUpstreamProtocol::readAttempt(const ExchangeResult &result) const
{
    AttemptReport report;
    report.status = toAttemptStatus(result.status);
    report.connection = result.connection;
    if (result.status != ExchangeStatus::Answered) {
        return report;
    }
    if (result.response.status == 503
        && result.response.headers.find("Bronzeshed-Not-Started") == "1") {
        report.status = AttemptStatus::NotStarted;
    }
    report.httpStatus = result.response.status;
    report.draining = result.response.headers.find("Bronzeshed-State") == "draining";
    if (const auto load = readNumber(result.response, "Bronzeshed-Load")) {
        report.load = LoadReport{static_cast<unsigned>(*load)};
    }
    if (const auto micros = readNumber(result.response, "Bronzeshed-Service-Us")) {
        report.serviceTime = std::chrono::microseconds(*micros);
    }
    return report;
}

} // namespace bronzeshed
