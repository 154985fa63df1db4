#ifndef BRONZESHED_ENTRY_CALLERPORT_H
#define BRONZESHED_ENTRY_CALLERPORT_H

#include "base/eventring.h"
#include "base/strongnumber.h"
#include "http/httpserver.h"

#include <memory>

namespace bronzeshed {

/** A request of a caller, queued for the decision thread. */
struct CallerEvent
{
    CallId id;
    HttpRequest request;
    std::shared_ptr<HttpExchange> exchange;
    TimePoint arrival;
    std::uint64_t digest = 0; ///< see digestOf(); 0 if the request has no id
};

/** Queues the requests of callers for the decision thread. Runs on the caller thread. */
class CallerPort : public HttpHandler
{
public:
    /** @param disconnects receives the ids of calls whose callers disconnected before the response
     */
    CallerPort(EventRing<CallerEvent> &ring, EventRing<CallId> &disconnects);

    void handleRequest(HttpRequest request, std::shared_ptr<HttpExchange> exchange) override;
    void decorateError(HttpResponse &response) override;

private:
    EventRing<CallerEvent> &ring;
    EventRing<CallId> &disconnects;
    CallId lastCall;
};

} // namespace bronzeshed

#endif
