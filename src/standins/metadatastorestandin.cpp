#include "standins/metadatastorestandin.h"

#include "base/parsenumber.h"

#include <boost/beast/core/detail/base64.hpp>
#include <boost/json.hpp>

namespace bronzeshed {

namespace base64 = boost::beast::detail::base64;
namespace json = boost::json;

namespace {

constexpr std::uint64_t MaxWaitMs = 30000;

std::string encode(const std::string &bytes)
{
    std::string text(base64::encoded_size(bytes.size()), '\0');
    text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

std::string decode(std::string_view text)
{
    std::string bytes(base64::decoded_size(text.size()), '\0');
    bytes.resize(base64::decode(bytes.data(), text.data(), text.size()).first);
    return bytes;
}

/** Loses the response of a call that was done. */
class LostReply : public HttpExchange
{
public:
    explicit LostReply(std::shared_ptr<HttpExchange> exchange)
        : exchange(std::move(exchange))
    {
    }
    void respond(HttpResponse /*response*/) override { this->exchange->drop(); }
    void onClientDisconnected(std::function<void()> callback) override
    {
        this->exchange->onClientDisconnected(std::move(callback));
    }
    void drop() override { this->exchange->drop(); }

private:
    std::shared_ptr<HttpExchange> exchange;
};

} // namespace

MetadataStoreStandin::MetadataStoreStandin(const Clock &clock)
    : TimedHandler(clock)
{
}

void MetadataStoreStandin::handleRequest(HttpRequest request,
                                         std::shared_ptr<HttpExchange> exchange)
{
    const std::lock_guard lock(this->mutex);
    const std::string path = request.path();
    const auto slash = path.rfind('/');
    ++this->calls[request.method + " " + (slash == 0 ? path : path.substr(0, slash))];
    if (path == "/kv-range") {
        this->handleRange(request, *exchange);
    } else if (path == "/kv-watch") {
        this->handleWatch(request, std::move(exchange));
    } else if (path == "/kv-txn") {
        this->handleTransaction(request, *exchange);
    } else if (path == "/kv-key") {
        const bool found = this->items.contains(request.queryValue("key"));
        exchange->respond(makeJsonResponse(found ? 200 : 404, "{}"));
    } else if (path == "/kv-lease") {
        this->handleLease(request, *exchange);
    } else {
        const auto lease = parseNumber(std::string_view(path).substr(slash + 1)).value_or(0);
        if (request.method == "DELETE") {
            this->endLease(lease);
            exchange->respond(makeJsonResponse(200, "{}"));
        } else {
            this->handleRenewal(lease, *exchange);
        }
    }
}

void MetadataStoreStandin::put(const std::string &key, const std::string &value)
{
    const std::lock_guard lock(this->mutex);
    this->write(key, value, 0);
    this->answerWatches();
}

void MetadataStoreStandin::erase(const std::string &key)
{
    const std::lock_guard lock(this->mutex);
    this->remove(key);
    this->answerWatches();
}

void MetadataStoreStandin::dropHistory()
{
    const std::lock_guard lock(this->mutex);
    this->history.clear();
    this->historyStart = this->revision;
    for (const auto &[number, watch] : this->watches) {
        watch.exchange->drop();
    }
    this->watches.clear();
}

void MetadataStoreStandin::endLeases()
{
    const std::lock_guard lock(this->mutex);
    while (!this->leases.empty()) {
        this->endLease(this->leases.begin()->first);
    }
}

void MetadataStoreStandin::holdStaleReads()
{
    const std::lock_guard lock(this->mutex);
    this->staleItems.emplace(this->revision, this->items);
}

std::map<std::string, std::string> MetadataStoreStandin::values()
{
    const std::lock_guard lock(this->mutex);
    std::map<std::string, std::string> result;
    for (const auto &[key, item] : this->items) {
        result[key] = item.value;
    }
    return result;
}

std::map<std::string, unsigned> MetadataStoreStandin::counts()
{
    const std::lock_guard lock(this->mutex);
    return this->calls;
}

void MetadataStoreStandin::write(const std::string &key, const std::string &value,
                                 std::uint64_t lease)
{
    this->items[key] = {value, ++this->revision, lease};
    this->history.push_back({key, this->revision, false});
}

void MetadataStoreStandin::remove(const std::string &key)
{
    if (this->items.erase(key) > 0) {
        this->history.push_back({key, ++this->revision, true});
    }
}

void MetadataStoreStandin::handleRange(const HttpRequest &request, HttpExchange &exchange)
{
    const std::string prefix = request.queryValue("prefix");
    const bool stale = this->staleItems && request.queryValue("allowStale") == "1";
    json::array found;
    for (const auto &[key, item] : stale ? this->staleItems->second : this->items) {
        if (key.starts_with(prefix)) {
            found.push_back(json::object{{"key", key},
                                         {"value", encode(item.value)},
                                         {"rev", item.revision},
                                         {"lease", item.lease}});
        }
    }
    const std::uint64_t asOf = stale ? this->staleItems->first : this->revision;
    exchange.respond(
        makeJsonResponse(200,
                         json::serialize(json::object{
                             {"items", std::move(found)}, {"hasMore", false}, {"asOf", asOf}})));
}

void MetadataStoreStandin::handleWatch(const HttpRequest &request,
                                       std::shared_ptr<HttpExchange> exchange)
{
    Watch watch;
    watch.prefix = request.queryValue("prefix");
    watch.after = parseNumber(request.queryValue("after")).value_or(0);
    watch.exchange = std::move(exchange);
    if (this->answerWatch(watch, false)) {
        return;
    }
    const std::uint64_t number = ++this->lastWatch;
    this->watches.emplace(number, watch);
    const auto wait = std::min(parseNumber(request.queryValue("waitMs")).value_or(0), MaxWaitMs);
    this->after(std::chrono::milliseconds(wait), [this, number] {
        const auto found = this->watches.find(number);
        if (found != this->watches.end()) {
            this->answerWatch(found->second, true);
            this->watches.erase(found);
        }
    });
}

bool MetadataStoreStandin::answerWatch(const Watch &watch, bool evenWithoutEvents)
{
    if (watch.after < this->historyStart) {
        watch.exchange->respond(makeJsonResponse(410, "{}"));
        return true;
    }
    json::array events;
    for (const Event &event : this->history) {
        if (event.revision <= watch.after || !event.key.starts_with(watch.prefix)) {
            continue;
        }
        json::object entry{{"key", event.key}, {"rev", event.revision}};
        if (event.deleted) {
            entry["deleted"] = true;
        } else if (this->items.contains(event.key)) {
            entry["value"] = encode(this->items[event.key].value);
            entry["lease"] = this->items[event.key].lease;
        } else {
            continue; // a deletion of the key follows
        }
        events.push_back(std::move(entry));
    }
    if (events.empty() && !evenWithoutEvents) {
        return false;
    }
    watch.exchange->respond(makeJsonResponse(
        200,
        json::serialize(json::object{{"events", std::move(events)}, {"asOf", this->revision}})));
    return true;
}

void MetadataStoreStandin::answerWatches()
{
    std::erase_if(this->watches,
                  [this](const auto &entry) { return this->answerWatch(entry.second, false); });
}

void MetadataStoreStandin::handleTransaction(const HttpRequest &request, HttpExchange &exchange)
{
    const json::value root = json::parse(request.body);
    for (const json::value &entry : root.at("expected").as_array()) {
        const auto found = this->items.find(std::string(entry.at("key").as_string()));
        const std::uint64_t current = found == this->items.end() ? 0 : found->second.revision;
        if (entry.at("rev").to_number<std::uint64_t>() != current) {
            exchange.respond(makeJsonResponse(412, R"({"items":[]})"));
            return;
        }
    }
    for (const json::value &key : root.at("deletes").as_array()) {
        this->remove(std::string(key.as_string()));
    }
    for (const json::value &entry : root.at("puts").as_array()) {
        const auto lease = entry.at("lease").to_number<std::uint64_t>();
        if (lease != 0 && !this->leases.contains(lease)) {
            exchange.respond(makeJsonResponse(404, "{}"));
            return;
        }
        this->write(std::string(entry.at("key").as_string()), decode(entry.at("value").as_string()),
                    lease);
    }
    exchange.respond(makeJsonResponse(200, json::serialize(json::object{{"rev", this->revision}})));
    this->answerWatches();
}

void MetadataStoreStandin::handleLease(const HttpRequest &request, HttpExchange &exchange)
{
    const auto ttl = json::parse(request.body).at("ttlMs").to_number<std::int64_t>();
    const std::uint64_t lease = ++this->lastLease;
    this->leases[lease] = std::chrono::milliseconds(ttl);
    this->armLease(lease);
    exchange.respond(
        makeJsonResponse(200, json::serialize(json::object{{"lease", lease}, {"ttlMs", ttl}})));
}

void MetadataStoreStandin::handleRenewal(std::uint64_t lease, HttpExchange &exchange)
{
    if (!this->leases.contains(lease)) {
        exchange.respond(makeJsonResponse(404, "{}"));
        return;
    }
    this->armLease(lease);
    exchange.respond(makeJsonResponse(200, "{\"ttlMs\":1}"));
}

void MetadataStoreStandin::armLease(std::uint64_t lease)
{
    this->timers.cancel(this->leaseTimers[lease]);
    this->leaseTimers[lease]
        = this->after(this->leases[lease], [this, lease] { this->endLease(lease); });
}

void MetadataStoreStandin::endLease(std::uint64_t lease)
{
    this->leases.erase(lease);
    this->timers.cancel(this->leaseTimers[lease]);
    std::vector<std::string> ended;
    for (const auto &[key, item] : this->items) {
        if (item.lease == lease) {
            ended.push_back(key);
        }
    }
    for (const std::string &key : ended) {
        this->remove(key);
    }
    this->answerWatches();
}

void FaultyStorePort::setFault(StoreFault newFault)
{
    const std::lock_guard lock(this->mutex);
    this->fault = newFault;
    for (const auto &exchange : std::exchange(this->held, {})) {
        exchange->drop();
    }
}

unsigned FaultyStorePort::watches()
{
    const std::lock_guard lock(this->mutex);
    return this->arrivedWatches;
}

void FaultyStorePort::handleRequest(HttpRequest request, std::shared_ptr<HttpExchange> exchange)
{
    const std::lock_guard lock(this->mutex);
    const bool isWatch = request.path() == "/kv-watch";
    this->arrivedWatches += isWatch ? 1 : 0;
    switch (this->fault) {
    case StoreFault::None:
        this->store.handleRequest(std::move(request), std::move(exchange));
        return;
    case StoreFault::Silent:
        this->held.push_back(std::move(exchange));
        return;
    case StoreFault::Busy:
        exchange->respond(makeJsonResponse(503, "{}"));
        return;
    case StoreFault::TooMany:
        exchange->respond(makeJsonResponse(429, "{}"));
        return;
    case StoreFault::Reset:
        exchange->drop();
        return;
    case StoreFault::LoseReply:
        this->store.handleRequest(std::move(request),
                                  std::make_shared<LostReply>(std::move(exchange)));
        return;
    case StoreFault::SilentWatches:
        if (isWatch) {
            this->unanswered.push_back(std::move(exchange));
        } else {
            this->store.handleRequest(std::move(request), std::move(exchange));
        }
        return;
    }
}

} // namespace bronzeshed
