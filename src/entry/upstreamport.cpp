#include "entry/upstreamport.h"

#include "base/logline.h"
#include "base/parsenumber.h"

namespace bronzeshed {

namespace {

/** Ids of probes do not meet those of attempts, which count from 1. */
constexpr std::uint64_t FirstProbeId = 1ULL << 63U;
/** Request and response of a probe, with their headers, rounded up. */
constexpr std::size_t ProbeBytes = 300;

std::optional<std::uint64_t> readNumber(const HttpResponse &response, const char *name)
{
    const auto text = response.headers.find(name);
    return text ? parseNumber(*text) : std::nullopt;
}

AttemptStatus toStatus(const ExchangeResult &result)
{
    switch (result.status) {
    case ExchangeStatus::Answered: {
        const bool notStarted = result.response.status == 503
            && result.response.headers.find("Bronzeshed-Not-Started") == "1";
        return notStarted ? AttemptStatus::NotStarted : AttemptStatus::Answered;
    }
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

} // namespace

AttemptReport makeAttemptReport(const ExchangeResult &result)
{
    AttemptReport report;
    report.status = toStatus(result);
    if (result.status != ExchangeStatus::Answered) {
        return report;
    }
    report.httpStatus = result.response.status;
    report.draining = result.response.headers.find("Bronzeshed-State") == "draining";
    if (const auto load = readNumber(result.response, "Bronzeshed-Load")) {
        report.load = static_cast<unsigned>(*load);
    }
    if (const auto micros = readNumber(result.response, "Bronzeshed-Service-Us")) {
        report.serviceTime = std::chrono::microseconds(*micros);
    }
    return report;
}

UpstreamPort::UpstreamPort(const ConnectionPoolLimits &limits, EventRing<AttemptEvent> &ring,
                           EventRing<ProbeEvent> &probeRing)
    : ring(ring)
    , probeRing(probeRing)
    , pool(limits)
{
}

void UpstreamPort::send(const AttemptOrder &order, const HttpRequest &request)
{
    const auto use = order.idempotent ? ConnectionUse::AnyIdle : ConnectionUse::RecentlyUsed;
    this->pool.send(
        order.attempt, order.upstream.endpoint, request, use, order.timeout,
        [this, attempt = order.attempt](ExchangeResult result) {
            AttemptEvent event{attempt, makeAttemptReport(result), std::move(result.response)};
            // The ring holds every attempt that may be in progress.
            if (!this->ring.tryPush(event)) {
                LogLine("attempt_event_lost", LogLevel::Error).add("attempt", attempt.value());
            }
        });
}

std::size_t UpstreamPort::probe(const ProbeOrder &order)
{
    HttpRequest request;
    request.target = "/health";
    const AttemptId id(FirstProbeId + ++this->lastProbe);
    this->pool.send(
        id, order.upstream.endpoint, request, ConnectionUse::RecentlyUsed, order.timeout,
        [this, upstream = order.upstream.id](const ExchangeResult &result) {
            const bool healthy
                = result.status == ExchangeStatus::Answered && result.response.status == 200;
            ProbeEvent event{upstream, healthy};
            if (!this->probeRing.tryPush(event)) {
                LogLine("probe_event_lost", LogLevel::Error).add("upstream", upstream.value());
            }
        });
    return ProbeBytes;
}

void UpstreamPort::cancel(AttemptId id)
{
    this->pool.cancel(id);
}

} // namespace bronzeshed
