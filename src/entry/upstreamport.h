#ifndef BRONZESHED_ENTRY_UPSTREAMPORT_H
#define BRONZESHED_ENTRY_UPSTREAMPORT_H

#include "base/eventring.h"
#include "entry/upstreamprotocol.h"
#include "http/connectionpool.h"
#include "routing/dispatcheroutput.h"

namespace bronzeshed {

/** The end of an attempt on its way to the decision thread. */
struct AttemptEvent
{
    AttemptId attempt;
    AttemptReport report;
    HttpResponse response;
};

/** The end of a probe on its way to the decision thread. */
struct ProbeEvent
{
    UpstreamId upstream;
    bool healthy = false;
    std::optional<LoadReport> load; ///< if the upstream answered with it
};

/** Sends attempts and probes to upstreams and reports their ends. */
class UpstreamPort
{
public:
    UpstreamPort(const ConnectionPoolLimits &limits, EventRing<AttemptEvent> &ring,
                 EventRing<ProbeEvent> &probeRing, const UpstreamProtocol &protocol);

    /** Sends @p request as the attempt @p order describes. */
    void send(const AttemptOrder &order, const HttpRequest &request);
    /** Asks the health endpoint of an upstream. @return bytes of the request, about */
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
