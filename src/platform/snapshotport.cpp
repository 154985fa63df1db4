#include "platform/snapshotport.h"

#include "base/logline.h"
#include "base/parsenumber.h"
#include "http/httpclient.h"
#include "platform/storecodec.h"

namespace bronzeshed {

namespace {

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusBadRequest = 400;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusGone = 410;
constexpr unsigned StatusUnavailable = 503;
constexpr std::uint64_t MaxWaitMs = 30000;
/** A shorter wait is not worth one, since expireWatches() is called a few times a second. */
constexpr std::uint64_t MinWaitMs = 10;
constexpr const char *RegistrationPath = "/registration";

} // namespace

void SnapshotPort::handleRequest(HttpRequest request, std::shared_ptr<HttpExchange> exchange)
{
    const std::string path = request.path();
    if (path == "/kv-range") {
        this->handleRange(request, *exchange);
    } else if (path == "/kv-watch") {
        this->handleWatch(request, std::move(exchange));
    } else if (path == RegistrationPath) {
        this->handleRegistration(request, *exchange);
    } else {
        exchange->respond(makeTextResponse(StatusNotFound, "no such path\n"));
    }
}

void SnapshotPort::handleRange(const HttpRequest &request, HttpExchange &exchange)
{
    const TimePoint arrival = std::chrono::steady_clock::now();
    const bool allowStale = request.queryValue("allowStale") == "1";
    const StoreRange range
        = this->source.snapshot(allowStale ? ReadMode::AllowStale : ReadMode::Linearizable);
    if (range.asOf.value() == 0 || (!allowStale && !this->source.isCurrent())) {
        exchange.respond(makeTextResponse(StatusUnavailable, "the copy is not current\n"));
        return;
    }
    this->respond(exchange, encodePage(range), arrival);
}

void SnapshotPort::handleWatch(const HttpRequest &request, std::shared_ptr<HttpExchange> exchange)
{
    const auto after = parseNumber(request.queryValue("after"));
    const auto wait = parseNumber(request.queryValue("waitMs"));
    if (!after || !wait || *wait > MaxWaitMs) {
        exchange->respond(makeTextResponse(StatusBadRequest, "give numbers after and waitMs\n"));
        return;
    }
    const InstanceId watcher(request.queryValue("watcher"));
    if (!watcher.isEmpty()) {
        this->source.contactFrom(watcher);
    }
    const TimePoint arrival = std::chrono::steady_clock::now();
    Watch watch{StoreRevision(*after), arrival, arrival + std::chrono::milliseconds(*wait),
                request.queryValue("allowStale") == "1", std::move(exchange)};
    const std::lock_guard lock(this->mutex);
    if (!this->answer(watch, *wait < MinWaitMs)) {
        this->watches.push_back(std::move(watch));
    }
}

void SnapshotPort::handleRegistration(const HttpRequest &request, HttpExchange &exchange)
{
    const InstanceId id(request.queryValue("instance"));
    if (id.isEmpty() || request.body.empty()) {
        exchange.respond(makeTextResponse(StatusBadRequest, "give an instance and its record\n"));
        return;
    }
    const bool accepted = this->source.registrationRequested(id, request.body);
    exchange.respond(makeTextResponse(accepted ? StatusOk : StatusUnavailable, ""));
}

bool SnapshotPort::answer(const Watch &watch, bool respondWithoutChanges)
{
    if (!watch.allowStale && !this->source.isCurrent()) {
        watch.exchange->respond(makeTextResponse(StatusUnavailable, "the copy is not current\n"));
        return true;
    }
    const StoreChanges changes = this->source.changesSince(watch.after);
    if (changes.historyLost) {
        watch.exchange->respond(makeTextResponse(StatusGone, "read the range anew\n"));
        return true;
    }
    if (changes.events.empty() && !respondWithoutChanges) {
        return false;
    }
    this->respond(*watch.exchange, this->encode(changes, watch.after), watch.arrival);
    return true;
}

void SnapshotPort::respond(HttpExchange &exchange, std::string body, TimePoint arrival)
{
    HttpResponse response = makeJsonResponse(StatusOk, std::move(body));
    // Rounded down, so that the replica never seems newer than it is.
    addConfirmation(
        response,
        std::chrono::floor<std::chrono::milliseconds>(this->source.confirmedAt() - arrival));
    exchange.respond(std::move(response));
}

const std::string &SnapshotPort::encode(const StoreChanges &changes, StoreRevision after)
{
    if (this->encoded.empty() || after != this->encodedAfter || changes.asOf != this->encodedAsOf) {
        this->encoded = encodeChanges(changes);
        this->encodedAfter = after;
        this->encodedAsOf = changes.asOf;
    }
    return this->encoded;
}

void SnapshotPort::replicaConfirmed()
{
    const std::lock_guard lock(this->mutex);
    std::erase_if(this->watches, [this](const Watch &watch) { return this->answer(watch, true); });
}

void SnapshotPort::expireWatches(TimePoint now)
{
    const std::lock_guard lock(this->mutex);
    std::erase_if(this->watches, [&](const Watch &watch) {
        return watch.end <= now && this->answer(watch, true);
    });
}

bool requestRegistration(const Endpoint &peer, const InstanceId &id, const std::string &record,
                         std::chrono::milliseconds timeout)
{
    HttpRequest request;
    request.method = "POST";
    request.target = std::string(RegistrationPath) + "?instance=" + encodePercent(id.value());
    request.headers.set("Content-Type", "application/json");
    request.body = record;
    std::string failure;
    try {
        const HttpResponse response = sendHttpRequest(peer, request, timeout);
        if (response.status == StatusOk) {
            return true;
        }
        failure = "status " + std::to_string(response.status);
    } catch (const HttpClientError &error) {
        failure = error.what();
    }
    LogLine("registration_request_failed", LogLevel::Warning)
        .add("peer", peer.toString())
        .add("error", failure);
    return false;
}

} // namespace bronzeshed
