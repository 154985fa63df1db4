#include "platform/registration.h"

#include "base/error.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cctype>

namespace bronzeshed {

namespace json = boost::json;

namespace {

[[noreturn]] void reject(const std::string &problem)
{
    throw ProtocolError("invalid registration: " + problem, "check the program that wrote it");
}

const json::object &readObject(const json::object &parent, const char *name)
{
    const json::value *value = parent.if_contains(name);
    if (value == nullptr || !value->is_object()) {
        reject(std::string("field '") + name + "' is missing or not an object");
    }
    return value->get_object();
}

std::string readString(const json::object &object, const char *name)
{
    const json::value *value = object.if_contains(name);
    if (value == nullptr || !value->is_string() || value->get_string().empty()) {
        reject(std::string("field '") + name + "' is missing or not a non-empty string");
    }
    return std::string(value->get_string());
}

/** An upstream with more slots is not plausible, and the number must fit the type of the field. */
constexpr std::int64_t MaxSlots = 1'000'000;

/** The id is sent in a header, where blanks and control characters have another meaning. */
bool isValidId(std::string_view id)
{
    return !id.empty() && std::all_of(id.begin(), id.end(), [](char character) {
        return std::isgraph(static_cast<unsigned char>(character)) != 0;
    });
}

std::int64_t readNumber(const json::object &object, const char *name)
{
    const json::value *value = object.if_contains(name);
    if (value == nullptr || !value->is_int64() || value->get_int64() < 0) {
        reject(std::string("field '") + name + "' is missing or not a non-negative integer");
    }
    return value->get_int64();
}

} // namespace

UpstreamInfo parseRegistration(std::string_view id, std::string_view value,
                               const ZoneRegions &regions)
{
    boost::system::error_code error;
    const json::value root = json::parse({value.data(), value.size()}, error);
    if (error || !root.is_object()) {
        reject("not a JSON object");
    }
    const json::object &object = root.get_object();
    const json::object &info = readObject(object, "info");
    const json::object &status = readObject(object, "status");
    if (!isValidId(id)) {
        reject("the id is empty or has blanks or control characters");
    }
    UpstreamInfo upstream;
    upstream.id = UpstreamId(std::string(id));
    try {
        upstream.endpoint = parseEndpoint(readString(object, "address"), "registration");
    } catch (const SettingsError &invalid) {
        reject(std::string("invalid address: ") + invalid.what());
    }
    if (upstream.endpoint.port == 0) {
        reject("the address has port 0");
    }
    upstream.service = ServiceName(readString(info, "service"));
    upstream.zone = ZoneName(readString(info, "zone"));
    const auto region = regions.find(upstream.zone);
    if (region == regions.end()) {
        reject("unknown availability zone '" + upstream.zone.value() + "'");
    }
    upstream.region = region->second;
    const std::int64_t slots = readNumber(info, "slots");
    if (slots > MaxSlots) {
        reject("more than " + std::to_string(MaxSlots) + " slots");
    }
    upstream.slots = static_cast<unsigned>(slots);
    const std::string state = readString(status, "state");
    if (state != "ready" && state != "draining") {
        reject("unknown state '" + state + "'");
    }
    upstream.leaving = state == "draining";
    // warmupLeftMs is the remaining time in which the upstream is slow after its start.
    upstream.warmingUp = readNumber(status, "warmupLeftMs") > 0;
    if (object.contains("born")) {
        upstream.startedAtMs = readNumber(object, "born");
    }
    return upstream;
}

} // namespace bronzeshed
