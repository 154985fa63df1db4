#include "standins/platformhandler.h"

#include <charconv>

namespace bronzeshed {

namespace {

constexpr std::chrono::seconds WatchLimit{10};
const std::string StorePrefix = "/kv/";
const std::string LeasePrefix = "/leases/";
const std::string ControlPrefix = "/control/";
const std::string RestorePrefix = "/control/restore/";

std::uint64_t toNumber(const std::string &text)
{
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

std::chrono::milliseconds readMs(const HttpRequest &request, const char *name)
{
    return std::chrono::milliseconds(toNumber(request.queryValue(name)));
}

HttpResponse entryResponse(const KeyValueStandin::Entry &entry)
{
    HttpResponse response = entry.revision == 0 ? makeTextResponse(404, "no such key\n")
                                                : makeJsonResponse(200, entry.value);
    response.headers.add("Revision", std::to_string(entry.revision));
    return response;
}

HttpResponse notModified(std::uint64_t revision)
{
    HttpResponse response;
    response.status = 304;
    response.headers.add("Revision", std::to_string(revision));
    return response;
}

HttpResponse done()
{
    return makeTextResponse(200, "done\n");
}

} // namespace

void PlatformHandler::handleRequest(HttpRequest request, SharedExchange exchange)
{
    const std::lock_guard lock(this->mutex);
    const std::string path = request.path();
    if (path.starts_with(ControlPrefix)) {
        exchange->respond(this->handleControl(request));
        return;
    }
    FaultPlan &plan = path == "/instances" ? this->listFault : this->storeFault;
    this->handleWithFault(std::move(request), exchange, plan);
}

HttpResponse PlatformHandler::handleControl(HttpRequest &request)
{
    const std::string path = request.path();
    if (path == "/control/counters") {
        return this->counters();
    }
    if (request.method != "PUT") {
        return makeTextResponse(405, "use PUT\n");
    }
    if (path == "/control/fault") {
        return this->setFault(request);
    }
    if (path == "/control/instances") {
        return this->setInstances(request);
    }
    return path.starts_with(RestorePrefix) ? this->restore(request)
                                           : makeTextResponse(404, "no such path\n");
}

HttpResponse PlatformHandler::setFault(const HttpRequest &request)
{
    const auto mode = parseFaultMode(request.body);
    const std::string part = request.queryValue("part");
    const bool all = part.empty() || part == "all";
    if (!mode || (!all && part != "store" && part != "list")) {
        return makeTextResponse(400,
                                "use none, down, slow or lose-reply and part=store|list|all\n");
    }
    const std::uint64_t count = toNumber(request.queryValue("count"));
    const Duration delay = readMs(request, "delay-ms");
    if (all || part == "list") {
        this->listFault.set(*mode, count, delay);
    }
    if (all || part == "store") {
        this->storeFault.set(*mode, count, delay);
        if (*mode == FaultMode::Down) {
            this->dropWatches();
        }
    }
    return done();
}

HttpResponse PlatformHandler::setInstances(HttpRequest &request)
{
    this->instances.setLag(readMs(request, "lag-ms"));
    this->instances.set(this->clock.now(), {std::move(request.body), ++this->instancesRevision});
    return done();
}

HttpResponse PlatformHandler::restore(const HttpRequest &request)
{
    const std::string key = request.path().substr(RestorePrefix.size());
    if (!this->store.restore(key, toNumber(request.queryValue("steps")))) {
        return makeTextResponse(404, "no value that old\n");
    }
    this->answerWatches(key);
    return done();
}

HttpResponse PlatformHandler::counters() const
{
    return makeJsonResponse(200,
                            "{\"reads\":" + std::to_string(this->reads)
                                + ",\"writes\":" + std::to_string(this->writes)
                                + ",\"watches\":" + std::to_string(this->watches.size()) + "}");
}

void PlatformHandler::handleWithFault(HttpRequest request, const SharedExchange &exchange,
                                      FaultPlan &plan)
{
    const Duration delay = plan.delay();
    switch (plan.take(request.method == "PUT")) {
    case FaultMode::Down:
        exchange->drop();
        return;
    case FaultMode::LoseReply:
        // Dropped first, so that the answer finds no connection.
        exchange->drop();
        break;
    case FaultMode::Slow:
        this->after(delay, [this, request = std::move(request), exchange] {
            this->handlePlatform(request, exchange);
        });
        return;
    case FaultMode::None:
        break;
    }
    this->handlePlatform(std::move(request), exchange);
}

void PlatformHandler::handlePlatform(HttpRequest request, const SharedExchange &exchange)
{
    const std::string path = request.path();
    if (path == "/instances") {
        exchange->respond(this->listInstances(request));
    } else if (path.starts_with(LeasePrefix)) {
        this->handleLease(request, *exchange);
    } else if (!path.starts_with(StorePrefix)) {
        exchange->respond(makeTextResponse(404, "no such path\n"));
    } else if (request.method == "PUT") {
        this->handlePut(path.substr(StorePrefix.size()), request, *exchange);
    } else {
        this->handleGet(path.substr(StorePrefix.size()), request, exchange);
    }
}

HttpResponse PlatformHandler::listInstances(const HttpRequest &request)
{
    InstanceList list = this->instances.get(this->clock.now());
    const std::string known = request.queryValue("revision");
    const bool same = !known.empty() && toNumber(known) == list.revision;
    return same ? notModified(list.revision) : entryResponse(list);
}

void PlatformHandler::handleLease(const HttpRequest &request, HttpExchange &exchange)
{
    const TimePoint now = this->clock.now();
    const std::string name = request.path().substr(LeasePrefix.size());
    if (request.method == "PUT") {
        ++this->writes;
        const bool held = this->leases.acquire(now, name, request.body, readMs(request, "ttl-ms"));
        exchange.respond(makeTextResponse(held ? 200 : 409, this->leases.holder(now, name)));
        return;
    }
    ++this->reads;
    const std::string holder = this->leases.holder(now, name);
    exchange.respond(makeTextResponse(holder.empty() ? 404 : 200, holder));
}

void PlatformHandler::handleGet(const std::string &key, const HttpRequest &request,
                                const SharedExchange &exchange)
{
    ++this->reads;
    const auto entry = this->store.get(key);
    const std::string watch = request.queryValue("watch");
    if (watch.empty() || entry.revision > toNumber(watch)) {
        exchange->respond(entryResponse(entry));
        return;
    }
    this->addWatch(key, toNumber(watch), exchange);
}

void PlatformHandler::handlePut(const std::string &key, HttpRequest &request,
                                HttpExchange &exchange)
{
    ++this->writes;
    const std::uint64_t expected = toNumber(request.headers.find("If-Revision").value_or("0"));
    const bool swapped = this->store.compareAndSwap(key, expected, std::move(request.body));
    HttpResponse response = swapped ? done() : makeTextResponse(409, "conflict\n");
    response.headers.add("Revision", std::to_string(this->store.get(key).revision));
    exchange.respond(std::move(response));
    this->answerWatches(key);
}

void PlatformHandler::addWatch(const std::string &key, std::uint64_t revision,
                               const SharedExchange &exchange)
{
    const std::uint64_t number = ++this->lastWatch;
    const TimerId limit = this->after(WatchLimit, [this, number, revision, exchange] {
        this->watches.erase(number);
        exchange->respond(notModified(revision));
    });
    this->watches.emplace(number, Watch{key, revision, exchange, limit});
    exchange->onClientDisconnected([this, number] {
        const std::lock_guard lock(this->mutex);
        this->removeWatch(number);
    });
}

void PlatformHandler::removeWatch(std::uint64_t number)
{
    const auto found = this->watches.find(number);
    if (found != this->watches.end()) {
        this->timers.cancel(found->second.limit);
        this->watches.erase(found);
    }
}

void PlatformHandler::answerWatches(const std::string &key)
{
    const auto entry = this->store.get(key);
    std::erase_if(this->watches, [&](const auto &item) {
        const Watch &watch = item.second;
        if (watch.key != key || entry.revision <= watch.revision) {
            return false;
        }
        this->timers.cancel(watch.limit);
        watch.exchange->respond(entryResponse(entry));
        return true;
    });
}

void PlatformHandler::dropWatches()
{
    for (const auto &[number, watch] : this->watches) {
        this->timers.cancel(watch.limit);
        watch.exchange->drop();
    }
    this->watches.clear();
}

} // namespace bronzeshed
