#ifndef BRONZESHED_METRICS_ADMINPORT_H
#define BRONZESHED_METRICS_ADMINPORT_H

#include "http/httpserver.h"

#include <string>

namespace bronzeshed {

/** Port through which the admin HTTP port asks the program. Thread-safe. */
class AdminSource
{
public:
    virtual ~AdminSource() = default;
    /** Metrics in the text exposition format. */
    virtual std::string metricsText() = 0;
    /** Empty if the program can take work, otherwise why it cannot. */
    virtual std::string notReadyReason() = 0;
};

/** Serves GET /metrics, /healthz (the process runs) and /readyz (it takes work). */
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
