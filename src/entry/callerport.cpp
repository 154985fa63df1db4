#include "entry/callerport.h"

#include "entry/callresponse.h"
#include "requests/requestidentity.h"

namespace bronzeshed {

namespace {

/** Returns the digest of the parts in which a repeat must equal the first request. */
std::uint64_t requestDigest(const HttpRequest &request)
{
    const std::string caller = request.headers.find("Bronzeshed-Caller").value_or("");
    const std::string className = request.headers.find("Bronzeshed-Class").value_or("");
    return digestOf({caller, className, request.method, request.target, request.body});
}

} // namespace

CallerPort::CallerPort(EventRing<CallerEvent> &ring, EventRing<CallId> &disconnects)
    : ring(ring)
    , disconnects(disconnects)
{
}

void CallerPort::handleRequest(HttpRequest request, std::shared_ptr<HttpExchange> exchange)
{
    this->lastCall = this->lastCall.next();
    const CallId id = this->lastCall;
    const bool identified = request.headers.count("Bronzeshed-Request-Id") > 0;
    const std::uint64_t digest = identified ? requestDigest(request) : 0;
    CallerEvent event{id, std::move(request), exchange, std::chrono::steady_clock::now(), digest};
    if (!this->ring.tryPush(event)) {
        // A request with an id may repeat one that has run. Only the ledger could rule that out.
        const Outcome outcome = identified ? Outcome::Unknown : Outcome::NotRun;
        exchange->respond(makeRefusal(outcome, Reason::Overloaded));
        return;
    }
    exchange->onClientDisconnected([this, id] {
        // If the ring is full, the request runs to completion and its response is discarded.
        CallId disconnected = id;
        this->disconnects.tryPush(disconnected);
    });
}

void CallerPort::decorateError(HttpResponse &response)
{
    response.headers.set("Bronzeshed-Outcome", outcomeName(Outcome::Invalid));
    response.headers.set("Bronzeshed-Reason", reasonName(Reason::MalformedHeader));
    response.headers.set("Bronzeshed-Remedy", reasonRemedy(Reason::MalformedHeader));
}

} // namespace bronzeshed
