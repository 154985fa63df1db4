#include "standins/upstreamhandler.h"

#include <cmath>

namespace bronzeshed {

UpstreamHandler::UpstreamHandler(const UpstreamOptions &options)
    : options(options)
    , random(makeSystemRandom())
{
}

void UpstreamHandler::handleRequest(HttpRequest request, std::shared_ptr<HttpExchange> exchange)
{
    const std::lock_guard lock(this->mutex);
    if (request.path() == "/executions") {
        std::string list;
        for (const auto &[id, count] : this->executions) {
            list += id + " " + std::to_string(count) + "\n";
        }
        exchange->respond(makeTextResponse(200, list));
        return;
    }
    Work work{request.headers.find("Bronzeshed-Request-Id").value_or(""), std::move(request),
              std::move(exchange)};
    if (this->running < this->options.slots) {
        this->start(std::move(work));
        return;
    }
    if (this->queue.size() >= this->options.maxQueue) {
        HttpResponse refusal = makeTextResponse(503, "overloaded\n");
        refusal.headers.add("Bronzeshed-Not-Started", "1");
        work.exchange->respond(std::move(refusal));
        return;
    }
    this->queue.push_back(std::move(work));
}

void UpstreamHandler::start(Work work)
{
    ++this->running;
    if (!work.id.empty()) {
        ++this->executions[work.id];
    }
    const double mean = std::chrono::duration<double>(this->options.meanWork).count();
    const std::chrono::duration<double> drawn(-std::log(1.0 - this->random.unit()) * mean);
    const auto spent = std::chrono::duration_cast<Duration>(drawn);
    const TimePoint due = std::chrono::steady_clock::now() + spent;
    this->timers.once(
        due, [this, work = std::move(work), spent](TimePoint) { this->finish(work, spent); });
}

void UpstreamHandler::finish(const Work &work, Duration spent)
{
    --this->running;
    if (!this->queue.empty()) {
        Work next = std::move(this->queue.front());
        this->queue.pop_front();
        this->start(std::move(next));
    }
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(spent);
    HttpResponse response
        = makeTextResponse(200, "echo " + work.request.target + " " + work.request.body + "\n");
    response.headers.add("Bronzeshed-Load", std::to_string(this->running + this->queue.size()));
    response.headers.add("Bronzeshed-Service-Us", std::to_string(micros.count()));
    work.exchange->respond(std::move(response));
}

void UpstreamHandler::fire(TimePoint now)
{
    const std::lock_guard lock(this->mutex);
    this->timers.fire(now);
}

std::optional<TimePoint> UpstreamHandler::nextDue()
{
    const std::lock_guard lock(this->mutex);
    return this->timers.nextDue();
}

} // namespace bronzeshed
