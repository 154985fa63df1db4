#include "platform/httpkeyvaluestore.h"

#include "base/error.h"
#include "base/parsenumber.h"
#include "http/httpclient.h"

namespace bronzeshed {

namespace {

/** The store responds to a watch within 10 s; later the connection is treated as broken. */
constexpr std::chrono::seconds WatchTimeout{12};

StoredValue readValue(HttpResponse response)
{
    if (response.status != 200 && response.status != 404) {
        throw UnavailableError("the store answered with status " + std::to_string(response.status),
                               "check the platform's key-value service");
    }
    const auto revision = parseNumber(response.headers.find("Revision").value_or(""));
    if (!revision) {
        throw ProtocolError("the store's answer has no valid Revision header",
                            "check the platform's key-value service");
    }
    StoredValue stored;
    stored.revision = *revision;
    stored.value = response.status == 200 ? std::move(response.body) : std::string();
    return stored;
}

} // namespace

HttpKeyValueStore::HttpKeyValueStore(Endpoint endpoint, std::chrono::milliseconds timeout,
                                     std::function<bool()> watchCancelled)
    : endpoint(std::move(endpoint))
    , timeout(timeout)
    , watchCancelled(std::move(watchCancelled))
{
}

StoredValue HttpKeyValueStore::get(const std::string &key)
{
    HttpRequest request;
    request.target = "/kv/" + key;
    return readValue(sendHttpRequest(this->endpoint, request, this->timeout));
}

std::optional<StoredValue> HttpKeyValueStore::watch(const std::string &key, std::uint64_t revision)
{
    HttpRequest request;
    request.target = "/kv/" + key + "?watch=" + std::to_string(revision);
    HttpResponse response
        = sendHttpRequest(this->endpoint, request, WatchTimeout, this->watchCancelled);
    if (response.status == 304) {
        return std::nullopt;
    }
    return readValue(std::move(response));
}

SwapResult HttpKeyValueStore::compareAndSwap(const std::string &key, std::uint64_t revision,
                                             const std::string &value)
{
    HttpRequest request;
    request.method = "PUT";
    request.target = "/kv/" + key;
    request.headers.add("If-Revision", std::to_string(revision));
    request.body = value;
    try {
        const HttpResponse response = sendHttpRequest(this->endpoint, request, this->timeout);
        if (response.status == 200) {
            return SwapResult::Swapped;
        }
        return response.status == 409 ? SwapResult::Conflict : SwapResult::Unknown;
    } catch (const HttpClientError &) {
        return SwapResult::Unknown;
    }
}

} // namespace bronzeshed
