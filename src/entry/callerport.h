#ifndef BRONZESHED_ENTRY_CALLERPORT_H
#define BRONZESHED_ENTRY_CALLERPORT_H

#include "base/eventring.h"
#include "http/httpserver.h"

#include <memory>

namespace bronzeshed {

/** A request of a caller on its way to the decision thread. */
struct CallerEvent
{
    HttpRequest request;
    std::shared_ptr<HttpExchange> exchange;
    TimePoint arrival;
};

/** Passes the requests of callers to the decision thread. Runs on the caller thread. */
class CallerPort : public HttpHandler
{
public:
    explicit CallerPort(EventRing<CallerEvent> &ring);

    void handleRequest(HttpRequest request, std::shared_ptr<HttpExchange> exchange) override;
    void decorateError(HttpResponse &response) override;

private:
    EventRing<CallerEvent> &ring;
};

} // namespace bronzeshed

#endif
