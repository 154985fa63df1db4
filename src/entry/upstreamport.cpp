#include "entry/upstreamport.h"

#include "base/logline.h"

namespace bronzeshed {

namespace {

/** Keeps ids of probes apart from those of attempts, which count from 1. */
constexpr std::uint64_t FirstProbeId = 1ULL << 63U;
/** Size of a probe's request and response with their headers, rounded up. */
constexpr std::size_t ProbeBytes = 300;

} // namespace

UpstreamPort::UpstreamPort(const ConnectionPoolLimits &limits, EventRing<AttemptEvent> &ring,
                           EventRing<ProbeEvent> &probeRing, const UpstreamProtocol &protocol)
    : ring(ring)
    , probeRing(probeRing)
    , protocol(protocol)
    , pool(limits)
{
}

void UpstreamPort::send(const AttemptOrder &order, const HttpRequest &request)
{
    const auto use = order.idempotent ? ConnectionUse::AnyIdle : ConnectionUse::RecentlyUsed;
    this->pool.send(
        order.attempt, order.upstream.endpoint, request, use, order.timeout,
        [this, attempt = order.attempt](ExchangeResult result) {
            AttemptEvent event{attempt, this->protocol.readAttempt(result),
                               std::move(result.response)};
            // This is not expected, since the ring has space for all attempts in progress.
            if (!this->ring.tryPush(event)) {
                LogLine("attempt_event_lost", LogLevel::Error).add("attempt", attempt.value());
            }
        },
        this->protocol.responseRules(request));
}

std::size_t UpstreamPort::probe(const ProbeOrder &order)
{
    const HttpRequest request = this->protocol.probeRequest(order);
    const AttemptId id(FirstProbeId + ++this->lastProbe);
    const auto use = order.loadProbe ? ConnectionUse::AnyIdle : ConnectionUse::RecentlyUsed;
    this->pool.send(
        id, order.upstream.endpoint, request, use, order.timeout,
        [this, upstream = order.upstream.id](const ExchangeResult &result) {
            const bool healthy
                = result.status == ExchangeStatus::Answered && result.response.status == 200;
            ProbeEvent event{upstream, healthy, this->protocol.readProbe(upstream, result)};
            if (!this->probeRing.tryPush(event)) {
                LogLine("probe_event_lost", LogLevel::Error).add("upstream", upstream.value());
            }
        },
        this->protocol.probeRules());
    return ProbeBytes;
}

void UpstreamPort::cancel(AttemptId id)
{
    this->pool.cancel(id);
}

} // namespace bronzeshed
