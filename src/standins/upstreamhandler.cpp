#include "standins/upstreamhandler.h"

#include "standins/echoanswer.h"

#include <algorithm>
#include <charconv>

namespace bronzeshed {

namespace {

std::chrono::milliseconds readMs(const std::string &text)
{
    std::uint32_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return std::chrono::milliseconds(number);
}

HttpResponse makeNotStarted(const std::string &text)
{
    HttpResponse response = makeTextResponse(503, text);
    response.headers.add("Bronzeshed-Not-Started", "1");
    return response;
}

} // namespace

UpstreamHandler::UpstreamHandler(const UpstreamOptions &options, const Clock &clock,
                                 std::uint64_t seed)
    : TimedHandler(clock)
    , options(options)
    , random(seed)
    , behaviour(options, clock.now(), random)
    , load(options.reportLag)
    , health(options.reportLag)
{
}

void UpstreamHandler::handleRequest(HttpRequest request, std::shared_ptr<HttpExchange> exchange)
{
    const std::lock_guard lock(this->mutex);
    if (this->handleControl(request, *exchange)) {
        return;
    }
    const Duration latency = this->takeLatency(exchange->connectionNumber());
    if (latency == Duration::zero()) {
        this->receive(std::move(request), std::move(exchange));
        return;
    }
    this->after(latency, [this, request = std::move(request), exchange = std::move(exchange)] {
        this->receive(request, exchange);
    });
}

Duration UpstreamHandler::takeLatency(std::uint64_t connection)
{
    Duration latency = this->options.latency;
    if (this->options.connectLatency > Duration::zero()
        && this->usedConnections.insert(connection).second) {
        latency += this->options.connectLatency;
    }
    return latency;
}

bool UpstreamHandler::handleControl(const HttpRequest &request, HttpExchange &exchange)
{
    const std::string path = request.path();
    if (path == "/executions") {
        std::string list;
        for (const auto &[id, count] : this->executions) {
            list += id + " " + std::to_string(count) + "\n";
        }
        exchange.respond(makeTextResponse(200, list));
    } else if (path == "/load") {
        exchange.respond(
            makeTextResponse(200, std::to_string(this->load.get(this->clock.now())) + "\n"));
    } else if (path == "/health") {
        const std::string seen = this->health.get(this->clock.now());
        const bool ok = seen.empty() || seen == "normal";
        exchange.respond(makeTextResponse(ok ? 200 : 503, (ok ? "normal" : seen) + "\n"));
    } else if (path == "/control/state" && request.method == "PUT") {
        exchange.respond(this->changeState(request, exchange));
    } else {
        return false;
    }
    return true;
}

HttpResponse UpstreamHandler::changeState(const HttpRequest &request, const HttpExchange &exchange)
{
    if (request.body == "silent") {
        this->lastSilentConnection = exchange.connectionNumber();
        return makeTextResponse(200, "done\n");
    }
    const auto mode = parseUpstreamMode(request.body);
    if (!mode) {
        return makeTextResponse(400,
                                "unknown state; use normal, draining, shed, fail-fast, slow, "
                                "cold or silent\n");
    }
    const TimePoint now = this->clock.now();
    const auto duration = readMs(request.queryValue("duration-ms"));
    this->behaviour.setMode(now, *mode, duration);
    this->health.set(now, request.body);
    if (duration > Duration::zero()) {
        this->health.set(now + duration, "normal");
    }
    return makeTextResponse(200, "done\n");
}

void UpstreamHandler::receive(HttpRequest request, std::shared_ptr<HttpExchange> exchange)
{
    if (this->refuse(exchange)) {
        return;
    }
    const WorkNumber number = ++this->lastWork;
    Work &work = this->works[number];
    work.exchange = std::move(exchange);
    work.exchange->onClientDisconnected([this, number] {
        const std::lock_guard lock(this->mutex);
        this->cancel(number);
    });
    if (const auto left = request.headers.find("Bronzeshed-Deadline-Ms")) {
        work.deadline = this->after(readMs(*left), [this, number] { this->expire(number); });
    }
    work.request = std::move(request);
    this->queue.push_back(number);
    this->startWaiting();
    this->recordLoad();
}

bool UpstreamHandler::refuse(const std::shared_ptr<HttpExchange> &exchange)
{
    HttpResponse refusal;
    switch (this->behaviour.mode(this->clock.now())) {
    case UpstreamMode::Draining:
        refusal = makeNotStarted("draining\n");
        refusal.headers.add("Bronzeshed-State", "draining");
        break;
    case UpstreamMode::Shed:
        refusal = makeNotStarted("shed\n");
        break;
    case UpstreamMode::FailFast:
        refusal = makeTextResponse(500, "failed\n");
        break;
    default:
        if (this->queue.size() < this->options.maxQueue) {
            return false;
        }
        refusal = makeNotStarted("overloaded\n");
    }
    this->send(exchange, std::move(refusal));
    return true;
}

void UpstreamHandler::startWaiting()
{
    while (this->running < this->options.slots && !this->queue.empty()) {
        const WorkNumber number = this->queue.front();
        this->queue.pop_front();
        this->start(number);
    }
}

void UpstreamHandler::start(WorkNumber number)
{
    Work &work = this->works.at(number);
    const std::string id = work.request.headers.find("Bronzeshed-Request-Id").value_or("");
    if (!id.empty()) {
        ++this->executions[id];
    }
    ++this->running;
    work.running = true;
    work.spent = this->behaviour.drawWork(this->clock.now());
    work.end = this->after(work.spent, [this, number] { this->finish(number); });
}

void UpstreamHandler::finish(WorkNumber number)
{
    const Work &work = this->works.at(number);
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(work.spent);
    HttpResponse response = makeTextResponse(200, makeEchoAnswer(work.request));
    const std::shared_ptr<HttpExchange> exchange = work.exchange;
    this->remove(number);
    response.headers.add("Upstream-Id", this->options.id);
    response.headers.add("Bronzeshed-Load", std::to_string(this->works.size()));
    response.headers.add("Bronzeshed-Service-Us", std::to_string(micros.count()));
    if (this->behaviour.mode(this->clock.now()) == UpstreamMode::Draining) {
        response.headers.add("Bronzeshed-State", "draining");
    }
    this->send(exchange, std::move(response));
}

void UpstreamHandler::expire(WorkNumber number)
{
    const Work &work = this->works.at(number);
    HttpResponse response = work.running ? makeTextResponse(504, "deadline passed\n")
                                         : makeNotStarted("deadline passed\n");
    const std::shared_ptr<HttpExchange> exchange = work.exchange;
    this->remove(number);
    this->send(exchange, std::move(response));
}

void UpstreamHandler::cancel(WorkNumber number)
{
    if (this->works.contains(number)) {
        this->remove(number);
    }
}

void UpstreamHandler::remove(WorkNumber number)
{
    const auto found = this->works.find(number);
    if (found->second.deadline) {
        this->timers.cancel(*found->second.deadline);
    }
    if (found->second.running) {
        this->timers.cancel(found->second.end);
        --this->running;
    } else {
        std::erase(this->queue, number);
    }
    this->works.erase(found);
    this->startWaiting();
    this->recordLoad();
}

void UpstreamHandler::send(const std::shared_ptr<HttpExchange> &exchange, HttpResponse response)
{
    if (this->options.latency == Duration::zero()) {
        this->deliver(exchange, std::move(response));
        return;
    }
    this->after(this->options.latency, [this, exchange, response = std::move(response)] {
        this->deliver(exchange, response);
    });
}

void UpstreamHandler::deliver(const std::shared_ptr<HttpExchange> &exchange, HttpResponse response)
{
    if (exchange->connectionNumber() > this->lastSilentConnection) {
        exchange->respond(std::move(response));
    }
}

void UpstreamHandler::recordLoad()
{
    this->load.set(this->clock.now(), this->works.size());
}

} // namespace bronzeshed
