#include "replay/entrydirectory.h"

#include "base/error.h"

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

namespace bronzeshed {

namespace {

constexpr std::chrono::milliseconds LookupTimeout{1000};
/** Keeps a caller that no entry answers from flooding the entries with lookups. */
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
        throw ProtocolError(std::string("'") + key + "' of the lookup answer is not a text",
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
        throw ProtocolError("the lookup answer names no entry or no validity", remedy);
    }
    LookupAnswer answer;
    answer.valid = std::chrono::milliseconds(valid.get_int64());
    for (const auto &item : entries.get_array()) {
        if (!item.is_object()) {
            throw ProtocolError("the lookup answer has an entry that is no object", remedy);
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
    // Spreads the calls over the addresses.
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
    Slot &slot = this->slots[key];
    if (this->clock.now() < slot.validUntil) {
        callback(slot.answer.entries);
        return;
    }
    slot.waiting.push_back(std::move(callback));
    if (slot.waiting.size() == 1) {
        this->ask(key);
    }
}

void LookupDirectory::forget(const LookupKey &key)
{
    this->slots[key].validUntil = {};
}

void LookupDirectory::ask(const LookupKey &key)
{
    HttpRequest request;
    request.target = "/bronzeshed/lookup?class=" + key.className.value()
        + "&region=" + key.region.value() + "&zone=" + key.zone.value();
    const Endpoint &seed = this->seeds[this->slots[key].seed % this->seeds.size()];
    this->transport.send(seed, request, ConnectionUse::AnyIdle, LookupTimeout,
                         [this, key, asked = this->clock.now()](const ExchangeResult &result) {
                             this->handleResult(key, asked, result);
                         });
}

void LookupDirectory::handleResult(const LookupKey &key, TimePoint asked,
                                   const ExchangeResult &result)
{
    if (result.status != ExchangeStatus::Answered || result.response.status != 200) {
        this->askNextSeed(key);
        return;
    }
    Slot &slot = this->slots[key];
    try {
        slot.answer = parseLookupAnswer(result.response.body);
    } catch (const Error &) {
        this->askNextSeed(key);
        return;
    }
    slot.validUntil = asked + slot.answer.valid;
    const std::vector<EntryAddress> entries = slot.answer.entries;
    for (const Callback &callback : std::exchange(slot.waiting, {})) {
        callback(entries);
    }
}

void LookupDirectory::askNextSeed(const LookupKey &key)
{
    ++this->slots[key].seed;
    this->timers.once(this->clock.now() + RetryDelay, [this, key](TimePoint) { this->ask(key); });
}

} // namespace bronzeshed
