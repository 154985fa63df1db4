#include "platform/storecodec.h"

#include "base/error.h"

#include <boost/beast/core/detail/base64.hpp>
#include <boost/json.hpp>
#include <charconv>

namespace bronzeshed {

namespace base64 = boost::beast::detail::base64;
namespace json = boost::json;

namespace {

const std::string Remedy = "check the platform's metadata store";
constexpr const char *ConfirmationHeader = "Bronzeshed-Confirmed-After-Ms";

json::object parseObject(std::string_view body)
{
    // Another writer's key may hold any bytes; one such key must not hide the other items.
    json::parse_options options;
    options.allow_invalid_utf8 = true;
    boost::system::error_code error;
    json::value root = json::parse({body.data(), body.size()}, error, {}, options);
    if (error || !root.is_object()) {
        throw ProtocolError("the metadata store's response is not a JSON object", Remedy);
    }
    return std::move(root.get_object());
}

std::uint64_t readNumber(const json::object &object, const char *name)
{
    const json::value *value = object.if_contains(name);
    if (value != nullptr && value->is_int64() && value->get_int64() >= 0) {
        return static_cast<std::uint64_t>(value->get_int64());
    }
    if (value != nullptr && value->is_uint64()) {
        return value->get_uint64();
    }
    throw ProtocolError(std::string("the metadata store's response has no number '") + name + "'",
                        Remedy);
}

bool readBoolean(const json::object &object, const char *name)
{
    const json::value *value = object.if_contains(name);
    return value != nullptr && value->is_bool() && value->get_bool();
}

std::string decodeValue(std::string_view text)
{
    std::string bytes(base64::decoded_size(text.size()), '\0');
    const auto [written, read] = base64::decode(bytes.data(), text.data(), text.size());
    bytes.resize(written);
    return bytes;
}

std::string encodeValue(std::string_view bytes)
{
    std::string text(base64::encoded_size(bytes.size()), '\0');
    text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

StoreItem readItem(const json::value &entry)
{
    if (!entry.is_object()) {
        throw ProtocolError("the metadata store's response has an item that is not an object",
                            Remedy);
    }
    const json::object &object = entry.get_object();
    const json::value *key = object.if_contains("key");
    if (key == nullptr || !key->is_string()) {
        throw ProtocolError("the metadata store's response has an item without a key", Remedy);
    }
    StoreItem item;
    item.key = std::string(key->get_string());
    item.revision = StoreRevision(readNumber(object, "rev"));
    if (object.contains("lease")) {
        item.lease = LeaseId(readNumber(object, "lease"));
    }
    const json::value *value = object.if_contains("value");
    if (value != nullptr && value->is_string()) {
        item.value = decodeValue(value->get_string());
    }
    return item;
}

json::object writeItem(const StoreItem &item)
{
    return {{"key", item.key},
            {"value", encodeValue(item.value)},
            {"rev", item.revision.value()},
            {"lease", item.lease.value()}};
}

const json::array &readArray(const json::object &object, const char *name)
{
    const json::value *value = object.if_contains(name);
    if (value == nullptr || !value->is_array()) {
        throw ProtocolError(std::string("the metadata store's response has no list '") + name + "'",
                            Remedy);
    }
    return value->get_array();
}

} // namespace

StorePage decodePage(std::string_view body)
{
    const json::object root = parseObject(body);
    StorePage page;
    for (const json::value &entry : readArray(root, "items")) {
        page.range.items.push_back(readItem(entry));
    }
    page.range.asOf = StoreRevision(readNumber(root, "asOf"));
    page.hasMore = readBoolean(root, "hasMore");
    return page;
}

std::string encodePage(const StoreRange &range)
{
    json::array items;
    for (const StoreItem &item : range.items) {
        items.push_back(writeItem(item));
    }
    return json::serialize(json::object{
        {"items", std::move(items)}, {"hasMore", false}, {"asOf", range.asOf.value()}});
}

StoreChanges decodeChanges(std::string_view body)
{
    const json::object root = parseObject(body);
    StoreChanges changes;
    for (const json::value &entry : readArray(root, "events")) {
        StoreEvent event;
        event.item = readItem(entry);
        event.deleted = readBoolean(entry.get_object(), "deleted");
        event.mayReturn = readBoolean(entry.get_object(), "mayReturn");
        changes.events.push_back(std::move(event));
    }
    changes.asOf = StoreRevision(readNumber(root, "asOf"));
    return changes;
}

std::string encodeChanges(const StoreChanges &changes)
{
    json::array events;
    for (const StoreEvent &event : changes.events) {
        if (event.deleted) {
            events.push_back(json::object{{"key", event.item.key},
                                          {"rev", event.item.revision.value()},
                                          {"deleted", true},
                                          {"mayReturn", event.mayReturn}});
        } else {
            events.push_back(writeItem(event.item));
        }
    }
    return json::serialize(
        json::object{{"events", std::move(events)}, {"asOf", changes.asOf.value()}});
}

void addConfirmation(HttpResponse &response, std::chrono::milliseconds afterStartOfCall)
{
    response.headers.set(ConfirmationHeader, std::to_string(afterStartOfCall.count()));
}

ReplicaConfirmation readConfirmation(const HttpResponse &response)
{
    const auto text = response.headers.find(ConfirmationHeader);
    if (!text) {
        return std::nullopt;
    }
    std::int64_t milliseconds = 0;
    const char *end = text->data() + text->size();
    const auto [parsedEnd, error] = std::from_chars(text->data(), end, milliseconds);
    if (error != std::errc() || parsedEnd != end) {
        throw ProtocolError("the replica's confirmation '" + std::string(*text)
                                + "' is not a number of milliseconds",
                            "compare the releases of the instances");
    }
    return std::chrono::milliseconds(milliseconds);
}

LeaseId decodeLease(std::string_view body)
{
    return LeaseId(readNumber(parseObject(body), "lease"));
}

std::string encodeTransaction(const StoreTransaction &transaction)
{
    json::array expected;
    for (const StoreItem &item : transaction.expected) {
        expected.push_back(json::object{{"key", item.key}, {"rev", item.revision.value()}});
    }
    json::array puts;
    for (const StoreItem &item : transaction.puts) {
        puts.push_back(json::object{
            {"key", item.key}, {"value", encodeValue(item.value)}, {"lease", item.lease.value()}});
    }
    json::array deletes;
    for (const StoreItem &item : transaction.deletes) {
        deletes.emplace_back(item.key);
    }
    return json::serialize(json::object{{"expected", std::move(expected)},
                                        {"puts", std::move(puts)},
                                        {"deletes", std::move(deletes)}});
}

StoreRevision decodeRevision(std::string_view body)
{
    return StoreRevision(readNumber(parseObject(body), "rev"));
}

std::string encodeLeaseRequest(std::chrono::milliseconds timeToLive)
{
    return json::serialize(json::object{{"ttlMs", timeToLive.count()}});
}

} // namespace bronzeshed
