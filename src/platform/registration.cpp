#include "platform/registration.h"

#include "base/error.h"

#include <boost/json.hpp>

namespace bronzeshed {

namespace json = boost::json;

namespace {

[[noreturn]] void reject(const std::string &problem)
{
    throw ProtocolError("the registration " + problem, "check who wrote it");
}

const json::object &readObject(const json::object &parent, const char *name)
{
    const json::value *value = parent.if_contains(name);
    if (value == nullptr || !value->is_object()) {
        reject(std::string("has no object '") + name + "'");
    }
    return value->get_object();
}

std::string readText(const json::object &object, const char *name)
{
    const json::value *value = object.if_contains(name);
    if (value == nullptr || !value->is_string() || value->get_string().empty()) {
        reject(std::string("has no text '") + name + "'");
    }
    return std::string(value->get_string());
}

std::int64_t readNumber(const json::object &object, const char *name)
{
    const json::value *value = object.if_contains(name);
    if (value == nullptr || !value->is_int64() || value->get_int64() < 0) {
        reject(std::string("has no whole number '") + name + "'");
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
        reject("is not a JSON object");
    }
    const json::object &object = root.get_object();
    const json::object &info = readObject(object, "info");
    const json::object &status = readObject(object, "status");
    UpstreamInfo upstream;
    upstream.id = UpstreamId(std::string(id));
    try {
        upstream.endpoint = parseEndpoint(readText(object, "address"), "registration");
    } catch (const SettingsError &bad) {
        reject(std::string("has a bad address: ") + bad.what());
    }
    upstream.service = ServiceName(readText(info, "service"));
    upstream.zone = ZoneName(readText(info, "zone"));
    const auto region = regions.find(upstream.zone);
    if (region == regions.end()) {
        reject("names the unknown zone '" + upstream.zone.value() + "'");
    }
    upstream.region = region->second;
    upstream.slots = static_cast<unsigned>(readNumber(info, "slots"));
    const std::string state = readText(status, "state");
    if (state != "ready" && state != "draining") {
        reject("has the unknown state '" + state + "'");
    }
    upstream.leaving = state == "draining";
    // How much longer the server is slow after its start.
    upstream.warmingUp = readNumber(status, "warmupLeftMs") > 0;
    if (object.contains("born")) {
        upstream.startedAtMs = readNumber(object, "born");
    }
    return upstream;
}

} // namespace bronzeshed
