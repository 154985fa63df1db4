#include "replay/entrydirectory.h"

#include "base/error.h"

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

namespace bronzeshed {

namespace {

constexpr std::chrono::milliseconds LookupTimeout{1000};
/** Limits the rate of lookups while no entry answers. */
constexpr std::chrono::milliseconds RetryDelay{20};

const boost::json::value &require(const boost::json::object &object, const char *key)
{
    const auto *value = object.if_contains(key);
    if (value == nullptr) {
        throw ProtocolError(std::string("the lookup answer has no '") + key + "'",
                            "check the version of the entry");
    }
    return *value;
}

std::string requireText(const boost::json::object &object, const char *key)
{
    const boost::json::value &value = require(object, key);
    if (!value.is_string()) {
        throw ProtocolError(std::string("'") + key + "' of the lookup answer is not a string",
                            "check the version of the entry");
    }
    return std::string(value.get_string());
}

} // namespace

LookupAnswer parseLookupAnswer(const std::string &json)
{
    const std::string remedy = "check the version of the entry";
    boost::system::error_code error;
    const auto root = boost::json::parse(json, error);
    if (error || !root.is_object()) {
        throw ProtocolError("the lookup answer is not a JSON object", remedy);
    }
    const boost::json::value &valid = require(root.get_object(), "valid_ms");
    const boost::json::value &entries = require(root.get_object(), "entries");
    if (!valid.is_int64() || valid.get_int64() <= 0 || !entries.is_array()
        || entries.get_array().empty()) {
        throw ProtocolError("the lookup answer has no entries or no valid_ms above 0", remedy);
    }
    LookupAnswer answer;
    answer.valid = std::chrono::milliseconds(valid.get_int64());
    for (const auto &item : entries.get_array()) {
        if (!item.is_object()) {
            throw ProtocolError("the lookup answer has an entry that is not a JSON object", remedy);
        }
        const auto &entry = item.get_object();
        answer.entries.push_back({parseEndpoint(requireText(entry, "address"), "lookup answer"),
                                  requireText(entry, "ticket"),
                                  RegionName(requireText(entry, "region"))});
    }
    return answer;
}

FixedDirectory::FixedDirectory(const std::vector<Endpoint> &endpoints)
{
    for (const Endpoint &endpoint : endpoints) {
        this->entries.push_back({endpoint, "0000000000000000-0", {}});
    }
}

void FixedDirectory::find(const LookupKey & /*key*/, Callback callback)
{
    // Rotates the addresses to distribute the calls over them.
    std::rotate(this->entries.begin(), this->entries.begin() + 1, this->entries.end());
    callback(this->entries);
}

LookupDirectory::LookupDirectory(const Clock &clock, TimerService &timers, CallTransport &transport,
                                 std::vector<Endpoint> seeds)
    : clock(clock)
    , timers(timers)
    , transport(transport)
    , seeds(std::move(seeds))
{
}

void LookupDirectory::find(const LookupKey &key, Callback callback)
{
    CachedLookup &lookup = this->lookups[key];
    if (this->clock.now() < lookup.validUntil) {
        callback(lookup.answer.entries);
        return;
    }
    lookup.pendingCallbacks.push_back(std::move(callback));
    if (lookup.pendingCallbacks.size() == 1) {
        this->sendLookup(key);
    }
}

void LookupDirectory::invalidate(const LookupKey &key)
{
    this->lookups[key].validUntil = {};
}

void LookupDirectory::sendLookup(const LookupKey &key)
{
    HttpRequest request;
    request.target = "/bronzeshed/lookup?class=" + key.className.value()
        + "&region=" + key.region.value() + "&zone=" + key.zone.value();
    const Endpoint &seed = this->seeds[this->lookups[key].seedIndex % this->seeds.size()];
    this->transport.send(seed, request, ConnectionUse::AnyIdle, LookupTimeout,
                         [this, key, sentAt = this->clock.now()](const ExchangeResult &result) {
                             this->handleResult(key, sentAt, result);
                         });
}

void LookupDirectory::handleResult(const LookupKey &key, TimePoint sentAt,
                                   const ExchangeResult &result)
{
    if (result.status != ExchangeStatus::Answered || result.response.status != 200) {
        this->retryWithNextSeed(key);
        return;
    }
    CachedLookup &lookup = this->lookups[key];
    try {
        lookup.answer = parseLookupAnswer(result.response.body);
    } catch (const Error &) {
        this->retryWithNextSeed(key);
        return;
    }
    lookup.validUntil = sentAt + lookup.answer.valid;
    const std::vector<EntryAddress> entries = lookup.answer.entries;
    for (const Callback &callback : std::exchange(lookup.pendingCallbacks, {})) {
        callback(entries);
    }
}

void LookupDirectory::retryWithNextSeed(const LookupKey &key)
{
    ++this->lookups[key].seedIndex;
    this->timers.once(this->clock.now() + RetryDelay,
                      [this, key](TimePoint) { this->sendLookup(key); });
}

} // namespace bronzeshed
