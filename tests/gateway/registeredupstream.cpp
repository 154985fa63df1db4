#include "registeredupstream.h"

namespace bronzeshed {

void ExecutionLog::add(const std::string &requestId, const std::string &upstream)
{
    const std::lock_guard lock(this->mutex);
    ++this->byRequest[requestId];
    ++this->byUpstream[upstream];
}

unsigned ExecutionLog::count(const std::string &requestId)
{
    const std::lock_guard lock(this->mutex);
    return this->byRequest[requestId];
}

unsigned ExecutionLog::countAt(const std::string &upstream)
{
    const std::lock_guard lock(this->mutex);
    return this->byUpstream[upstream];
}

RegisteredUpstream::RegisteredUpstream(std::string id, const Clock &clock, ExecutionLog &executions)
    : TimedHandler(clock)
    , name(std::move(id))
    , executions(executions)
    , server({"127.0.0.1", 0}, HttpLimits{}, *this)
    , thread(*this)
{
}

void RegisteredUpstream::handleRequest(HttpRequest request, std::shared_ptr<HttpExchange> exchange)
{
    if (request.path() == "/health") {
        HttpResponse health = makeTextResponse(200, "");
        health.headers.add("X-Bronzeshed-Instance-Id", this->name);
        health.headers.add("X-Bronzeshed-Server-Load", "0,0,2,100");
        exchange->respond(std::move(health));
        return;
    }
    const std::string id = request.headers.find("X-Bronzeshed-Request-Id").value_or("");
    const auto expected = request.headers.find("X-Bronzeshed-Expected-Instance");
    if (expected && *expected != this->name) {
        HttpResponse misdirected = makeTextResponse(421, "");
        misdirected.headers.add("X-Bronzeshed-Request-Id", id);
        exchange->respond(std::move(misdirected));
        return;
    }
    const UpstreamFault current = this->fault.load();
    const bool full = this->running.fetch_add(1) >= this->capacity.load();
    if (full || current == UpstreamFault::Shed) {
        --this->running;
        exchange->respond(makeRefusal(id));
        return;
    }
    this->executions.add(id, this->name);
    const std::lock_guard lock(this->mutex);
    this->after(this->serviceTime.load(), [this, id, current, exchange] {
        --this->running;
        if (current == UpstreamFault::LoseResponse) {
            exchange->drop();
        } else {
            exchange->respond(this->makeResponse(id, current == UpstreamFault::Error ? 500 : 200));
        }
    });
}

HttpResponse RegisteredUpstream::makeResponse(const std::string &requestId, unsigned status) const
{
    HttpResponse response = makeTextResponse(status, responseBody(requestId));
    response.headers.add("X-Bronzeshed-Request-Id", requestId);
    response.headers.add("X-Bronzeshed-Server-Signature", this->name + "." + requestId);
    return response;
}

HttpResponse RegisteredUpstream::makeRefusal(const std::string &requestId)
{
    HttpResponse refusal = makeTextResponse(503, "");
    refusal.headers.add("X-Bronzeshed-Request-Id", requestId);
    refusal.headers.add("X-Bronzeshed-Not-Executed", "1");
    return refusal;
}

std::string RegisteredUpstream::responseBody(const std::string &requestId)
{
    return "answer to " + requestId;
}

std::string RegisteredUpstream::registration(const Endpoint &address, const std::string &service,
                                             const std::string &zone, const std::string &state)
{
    return R"({"address":")" + address.toString() + R"(","info":{"service":")" + service
        + R"(","version":"v1","zone":")" + zone + R"(","slots":2},"status":{"state":")" + state
        + R"(","seq":1,"warmupLeftMs":0},"born":1})";
}

} // namespace bronzeshed
