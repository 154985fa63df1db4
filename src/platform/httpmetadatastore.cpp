#include "platform/httpmetadatastore.h"

#include "base/error.h"
#include "http/httpclient.h"
#include "platform/configuration.h"
#include "platform/storecodec.h"

namespace bronzeshed {

namespace {

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusGone = 410;
constexpr unsigned StatusConflict = 412;

} // namespace

HttpMetadataStore::HttpMetadataStore(Endpoint endpoint, std::chrono::milliseconds timeout,
                                     std::function<bool()> cancelled)
    : endpoint(std::move(endpoint))
    , timeout(timeout)
    , cancelled(std::move(cancelled))
{
}

HttpResponse HttpMetadataStore::call(const std::string &method, const std::string &target,
                                     std::string body, std::chrono::milliseconds wait)
{
    HttpRequest request;
    request.method = method;
    request.target = target;
    request.body = std::move(body);
    if (!request.body.empty()) {
        request.headers.set("Content-Type", "application/json");
    }
    HttpResponse response
        = sendHttpRequest(this->endpoint, request, this->timeout + wait, this->cancelled);
    if (response.status != StatusOk && response.status != StatusNotFound
        && response.status != StatusGone && response.status != StatusConflict) {
        throw UnavailableError("the metadata store at " + this->endpoint.toString()
                                   + " returned status " + std::to_string(response.status),
                               "check the platform's metadata store");
    }
    return response;
}

StoreRange HttpMetadataStore::range(const std::string &prefix, ReadMode mode)
{
    StoreRange all;
    std::string after;
    while (true) {
        std::string target = "/kv-range?prefix=" + encodePercent(prefix);
        if (!after.empty()) {
            target += "&after=" + encodePercent(after);
        }
        if (mode == ReadMode::AllowStale) {
            target += "&allowStale=1";
        }
        const HttpResponse response = this->call("GET", target, {});
        StorePage page = decodePage(response.body);
        // Pages may be read at different revisions. A watch from the first page's revision delivers
        // the changes made between the pages.
        if (after.empty()) {
            all.asOf = page.range.asOf;
            all.confirmation = readConfirmation(response);
        }
        for (StoreItem &item : page.range.items) {
            all.items.push_back(std::move(item));
        }
        if (!page.hasMore || page.range.items.empty()) {
            return all;
        }
        after = all.items.back().key;
    }
}

StoreChanges HttpMetadataStore::watch(const std::string &prefix, StoreRevision after,
                                      std::chrono::milliseconds wait, ReadMode mode)
{
    const std::string stale = mode == ReadMode::AllowStale ? "&allowStale=1" : "";
    const std::string identity
        = this->watcher.isEmpty() ? "" : "&watcher=" + encodePercent(this->watcher.value());
    const std::string target = "/kv-watch?prefix=" + encodePercent(prefix)
        + "&after=" + std::to_string(after.value()) + "&waitMs=" + std::to_string(wait.count())
        + stale + identity;
    const HttpResponse response = this->call("GET", target, {}, wait);
    if (response.status == StatusGone) {
        StoreChanges lost;
        lost.historyLost = true;
        return lost;
    }
    StoreChanges changes = decodeChanges(response.body);
    changes.confirmation = readConfirmation(response);
    return changes;
}

LeaseId HttpMetadataStore::grantLease(std::chrono::milliseconds timeToLive)
{
    return decodeLease(this->call("POST", "/kv-lease", encodeLeaseRequest(timeToLive)).body);
}

bool HttpMetadataStore::renewLease(LeaseId lease)
{
    const HttpResponse response
        = this->call("POST", "/kv-keep/" + std::to_string(lease.value()), {});
    return response.status == StatusOk;
}

void HttpMetadataStore::endLease(LeaseId lease)
{
    this->call("DELETE", "/kv-lease-end/" + std::to_string(lease.value()), {});
}

std::optional<StoreRevision> HttpMetadataStore::put(const std::string &key,
                                                    const std::string &value, LeaseId lease)
{
    StoreItem item;
    item.key = key;
    item.value = value;
    item.lease = lease;
    const HttpResponse response
        = this->call("POST", "/kv-txn", encodeTransaction({{}, {std::move(item)}, {}}));
    if (response.status != StatusOk) {
        return std::nullopt;
    }
    return decodeRevision(response.body);
}

bool HttpMetadataStore::putAll(const std::vector<StoreItem> &items, const StoreItem &condition)
{
    const std::string body = encodeTransaction({{condition}, items, {}});
    return this->call("POST", "/kv-txn", body).status == StatusOk;
}

bool HttpMetadataStore::erase(const std::vector<StoreItem> &items,
                              const std::optional<StoreItem> &condition)
{
    StoreTransaction transaction{items, {}, items};
    if (condition) {
        transaction.expected.push_back(*condition);
    }
    return this->call("POST", "/kv-txn", encodeTransaction(transaction)).status == StatusOk;
}

void HttpMetadataStore::checkAvailability()
{
    this->call("GET",
               "/kv-key?key=" + encodePercent(std::string(ConfigurationKey)) + "&allowStale=1", {});
}

} // namespace bronzeshed
