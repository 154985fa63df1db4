#include "metrics/adminport.h"

namespace bronzeshed {

AdminPort::AdminPort(AdminSource &source)
    : source(source)
{
}

void AdminPort::handleRequest(HttpRequest request, std::shared_ptr<HttpExchange> exchange)
{
    if (request.method != "GET" && request.method != "HEAD") {
        exchange->respond(makeTextResponse(405, "method not allowed; use GET\n"));
        return;
    }
    const std::string path = request.path();
    if (path == "/metrics") {
        exchange->respond(makeTextResponse(200, this->source.metricsText()));
        return;
    }
    if (path == "/healthz") {
        exchange->respond(makeTextResponse(200, "ok\n"));
        return;
    }
    if (path == "/readyz") {
        const std::string reason = this->source.notReadyReason();
        exchange->respond(reason.empty() ? makeTextResponse(200, "ready\n")
                                         : makeTextResponse(503, reason + "\n"));
        return;
    }
    exchange->respond(makeTextResponse(404, "no such path; use /metrics, /healthz or /readyz\n"));
}

} // namespace bronzeshed
