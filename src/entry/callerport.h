#ifndef BRONZESHED_ENTRY_CALLERPORT_H
#define BRONZESHED_ENTRY_CALLERPORT_H

#include "base/eventring.h"
#include "base/strongnumber.h"
#include "http/httpserver.h"

#include <memory>

namespace bronzeshed {

/** A request of a caller on its way to the decision thread. */
struct CallerEvent
{
    CallId id;
    HttpRequest request;
    std::shared_ptr<HttpExchange> exchange;
    TimePoint arrival;
    std::uint64_t digest = 0; ///< see digestOf(); only if the request carries an id
};

/** Passes the requests of callers to the decision thread. Runs on the caller thread. */
class CallerPort : public HttpHandler
{
public:
    /** @param departures receives the ids of requests whose callers left before the response */
    CallerPort(EventRing<CallerEvent> &ring, EventRing<CallId> &departures);

    void handleRequest(HttpRequest request, std::shared_ptr<HttpExchange> exchange) override;
    void decorateError(HttpResponse &response) override;

private:
    EventRing<CallerEvent> &ring;
    EventRing<CallId> &departures;
    CallId lastCall;
};

} // namespace bronzeshed

#endif
