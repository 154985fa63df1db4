#ifndef BRONZESHED_ENTRY_UPSTREAMPORT_H
#define BRONZESHED_ENTRY_UPSTREAMPORT_H

#include "base/eventring.h"
#include "entry/upstreamprotocol.h"
#include "http/connectionpool.h"
#include "routing/dispatcheroutput.h"

namespace bronzeshed {

/** The result of an attempt, queued for the decision thread. */
struct AttemptEvent
{
    AttemptId attempt;
    AttemptReport report;
    HttpResponse response;
};

/** The result of a probe, queued for the decision thread. */
struct ProbeEvent
{
    UpstreamId upstream;
    bool healthy = false;
    std::optional<LoadReport> load; ///< set if the response contains it
};

/** Sends attempts and probes to upstreams and queues their results. */
class UpstreamPort
{
public:
    UpstreamPort(const ConnectionPoolLimits &limits, EventRing<AttemptEvent> &ring,
                 EventRing<ProbeEvent> &probeRing, const UpstreamProtocol &protocol);

    /** Sends @p request to the upstream of @p order. */
    void send(const AttemptOrder &order, const HttpRequest &request);
    /** Sends a probe to an upstream. @return approximate size of request and response in bytes */
    std::size_t probe(const ProbeOrder &order);
    void cancel(AttemptId id);
    std::size_t openConnections() const { return this->pool.openConnections(); }
    void stop() { this->pool.stop(); }

private:
    EventRing<AttemptEvent> &ring;
    EventRing<ProbeEvent> &probeRing;
    const UpstreamProtocol &protocol;
    std::uint64_t lastProbe = 0;
    ConnectionPool pool;
};

} // namespace bronzeshed

#endif
