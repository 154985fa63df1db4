#ifndef BRONZESHED_METRICS_ADMINPORT_H
#define BRONZESHED_METRICS_ADMINPORT_H

#include "http/httpserver.h"

#include <string>

namespace bronzeshed {

/** Interface through which the admin HTTP port reads the state of the program. Thread-safe. */
class AdminSource
{
public:
    virtual ~AdminSource() = default;
    /** Returns all metrics in the Prometheus text exposition format. */
    virtual std::string metricsText() = 0;
    /** Returns why the program is not ready to serve requests; empty if it is ready. */
    virtual std::string notReadyReason() = 0;
};

/**
 * Serves GET and HEAD requests for /metrics, /healthz (liveness) and /readyz (readiness). /readyz
 * returns status 503 with the reason while the program is not ready.
 */
class AdminPort : public HttpHandler
{
public:
    explicit AdminPort(AdminSource &source);

    void handleRequest(HttpRequest request, std::shared_ptr<HttpExchange> exchange) override;

private:
    AdminSource &source;
};

} // namespace bronzeshed

#endif
