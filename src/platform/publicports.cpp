#include "platform/publicports.h"

#include <boost/json.hpp>

namespace bronzeshed {

namespace {

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusUnavailable = 503;

} // namespace

void LookupPort::handleRequest(HttpRequest request, std::shared_ptr<HttpExchange> exchange)
{
    if (request.path() != "/resolve") {
        exchange->respond(makeTextResponse(StatusNotFound, "no such path; use /resolve\n"));
        return;
    }
    const LookupAnswer answer = this->source.lookup(RegionName(request.queryValue("region")),
                                                    ZoneName(request.queryValue("zone")));
    if (answer.entries.empty()) {
        exchange->respond(
            makeTextResponse(StatusUnavailable, "no entry is known yet; try again\n"));
        return;
    }
    boost::json::array addresses;
    for (const Endpoint &entry : answer.entries) {
        addresses.emplace_back(entry.toString());
    }
    const boost::json::object body{{"addresses", std::move(addresses)},
                                   {"ttlS", answer.validity.count()}};
    exchange->respond(makeJsonResponse(StatusOk, boost::json::serialize(body)));
}

void ReadinessPort::handleRequest(HttpRequest /*request*/, std::shared_ptr<HttpExchange> exchange)
{
    const bool ready = this->source.isReady();
    exchange->respond(
        makeTextResponse(ready ? StatusOk : StatusUnavailable, ready ? "ready\n" : "not ready\n"));
}

} // namespace bronzeshed
