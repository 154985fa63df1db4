#include "standins/platformhandler.h"

#include <charconv>

namespace bronzeshed {

namespace {

constexpr std::chrono::seconds WatchLimit{10};
const std::string StorePrefix = "/kv/";
const std::string InstancesKey = "instances";

std::uint64_t toNumber(const std::string &text)
{
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
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

} // namespace

void PlatformHandler::handleRequest(HttpRequest request, std::shared_ptr<HttpExchange> exchange)
{
    const std::lock_guard lock(this->mutex);
    const std::string path = request.path();
    if (path.starts_with(StorePrefix)) {
        const std::string key = path.substr(StorePrefix.size());
        if (request.method == "PUT") {
            this->handlePut(key, request, *exchange);
        } else {
            this->handleGet(key, request, exchange);
        }
        return;
    }
    if (path == "/instances") {
        const auto entry = this->instances.get(InstancesKey);
        const std::string known = request.queryValue("revision");
        const bool same = !known.empty() && toNumber(known) == entry.revision;
        exchange->respond(same ? notModified(entry.revision) : entryResponse(entry));
        return;
    }
    if (path == "/control/instances" && request.method == "PUT") {
        this->instances.overwrite(InstancesKey, std::move(request.body));
        exchange->respond(makeTextResponse(200, "done\n"));
        return;
    }
    exchange->respond(makeTextResponse(404, "no such path\n"));
}

void PlatformHandler::handleGet(const std::string &key, const HttpRequest &request,
                                const std::shared_ptr<HttpExchange> &exchange)
{
    const auto entry = this->store.get(key);
    const std::string watch = request.queryValue("watch");
    if (watch.empty() || entry.revision > toNumber(watch)) {
        exchange->respond(entryResponse(entry));
        return;
    }
    const TimePoint due = std::chrono::steady_clock::now() + WatchLimit;
    this->watches.push_back({key, toNumber(watch), due, exchange});
}

void PlatformHandler::handlePut(const std::string &key, HttpRequest &request,
                                HttpExchange &exchange)
{
    const std::uint64_t expected = toNumber(request.headers.find("If-Revision").value_or("0"));
    const bool swapped = this->store.compareAndSwap(key, expected, std::move(request.body));
    HttpResponse response
        = makeTextResponse(swapped ? 200 : 409, swapped ? "done\n" : "conflict\n");
    response.headers.add("Revision", std::to_string(this->store.get(key).revision));
    exchange.respond(std::move(response));
    this->answerWatches(key);
}

void PlatformHandler::answerWatches(const std::string &key)
{
    const auto entry = this->store.get(key);
    for (auto watch = this->watches.begin(); watch != this->watches.end();) {
        if (watch->key != key || entry.revision <= watch->revision) {
            ++watch;
            continue;
        }
        watch->exchange->respond(entryResponse(entry));
        watch = this->watches.erase(watch);
    }
}

void PlatformHandler::expireWatches(TimePoint now)
{
    const std::lock_guard lock(this->mutex);
    for (auto watch = this->watches.begin(); watch != this->watches.end();) {
        if (watch->due > now) {
            ++watch;
            continue;
        }
        watch->exchange->respond(notModified(watch->revision));
        watch = this->watches.erase(watch);
    }
}

} // namespace bronzeshed
