#include "platform/configuration.h"

#include "base/error.h"
#include "base/parsenumber.h"

#include <algorithm>
#include <boost/json.hpp>
#include <limits>

namespace bronzeshed {

namespace json = boost::json;

namespace {

[[noreturn]] void reject(const std::string &problem)
{
    throw DeclarationError("invalid configuration: " + problem,
                           "write a valid configuration to the store");
}

const json::value &requireField(const json::object &object, const char *name)
{
    const json::value *value = object.if_contains(name);
    if (value == nullptr) {
        reject(std::string("field '") + name + "' is missing");
    }
    return *value;
}

const json::object &requireObject(const json::value &value, const char *name)
{
    if (!value.is_object()) {
        reject(std::string("field '") + name + "' is not an object");
    }
    return value.get_object();
}

const json::array &readArray(const json::object &object, const char *name)
{
    const json::value &value = requireField(object, name);
    if (!value.is_array()) {
        reject(std::string("field '") + name + "' is not a list");
    }
    return value.get_array();
}

std::string readString(const json::object &object, const char *name)
{
    const json::value &value = requireField(object, name);
    if (!value.is_string() || value.get_string().empty()) {
        reject(std::string("field '") + name + "' is not a non-empty string");
    }
    return std::string(value.get_string());
}

/** Larger numbers mean no limit in practice, and would not fit the types that they are stored in.
 */
constexpr double MaxNumber = std::numeric_limits<std::uint32_t>::max();

double readNumber(const json::object &object, const char *name)
{
    const json::value &value = requireField(object, name);
    if (!value.is_number() || value.to_number<double>() < 0) {
        reject(std::string("field '") + name + "' is not a non-negative number");
    }
    return std::min(value.to_number<double>(), MaxNumber);
}

std::chrono::milliseconds readMilliseconds(const json::object &object, const char *name)
{
    return std::chrono::milliseconds(static_cast<std::int64_t>(readNumber(object, name)));
}

ConfigVersion readVersion(const json::object &root)
{
    const std::string text = readString(root, "version");
    const auto number = parseNumber(std::string_view(text).substr(1));
    if (text.front() != 'r' || !number) {
        reject("version '" + text + "' does not have the form r<number>");
    }
    return ConfigVersion(*number);
}

CallerLimits readLimits(const json::object &root)
{
    const json::object &object = requireObject(requireField(root, "limits"), "limits");
    CallerLimits limits;
    limits.headerBytes = static_cast<std::size_t>(readNumber(object, "maxHeaderBytes"));
    limits.bodyBytes = static_cast<std::size_t>(readNumber(object, "maxBodyBytes"));
    limits.headerTimeout = readMilliseconds(object, "headerTimeoutMs");
    limits.idleTimeout = readMilliseconds(object, "idleTimeoutMs");
    return limits;
}

void readServices(const json::object &root, Declaration &declaration)
{
    for (const json::value &entry : readArray(root, "clusters")) {
        const json::object &object = requireObject(entry, "clusters");
        const ServiceName name(readString(object, "name"));
        declaration.services.insert(name);
        declaration.serviceSettings[name].healthPath = readString(object, "healthPath");
    }
}

void readDestination(const json::object &action, const Declaration &declaration,
                     ClassTarget &target)
{
    const auto checkDeclared = [&](const ServiceName &service) {
        if (!declaration.services.contains(service)) {
            reject("unknown service '" + service.value() + "'");
        }
    };
    if (!action.contains("trafficSplit")) {
        target.service = ServiceName(readString(action, "service"));
        checkDeclared(target.service);
        return;
    }
    double total = 0;
    for (const json::value &entry : readArray(action, "trafficSplit")) {
        const json::object &part = requireObject(entry, "trafficSplit");
        WeightedService weighted{ServiceName(readString(part, "service")),
                                 readNumber(part, "weight")};
        checkDeclared(weighted.service);
        total += weighted.weight;
        target.split.push_back(std::move(weighted));
    }
    if (total <= 0) {
        reject("a traffic split has no weight above 0");
    }
    target.service = target.split.front().service;
}

bool readRepeatable(const json::object &rule)
{
    const std::string kind = readString(rule, "kind");
    if (kind != "safe" && kind != "unsafe") {
        reject("unknown kind '" + kind + "'");
    }
    return kind == "safe";
}

void readRule(const std::string &host, const json::object &rule, Declaration &declaration)
{
    const std::string prefix
        = readString(requireObject(requireField(rule, "match"), "match"), "prefix");
    if (prefix.front() != '/' || prefix.back() != '/') {
        reject("prefix '" + prefix + "' does not begin and end with a slash");
    }
    const json::object &action = requireObject(requireField(rule, "action"), "action");
    ClassTarget target;
    target.name = ClassName(readString(rule, "name"));
    if (declaration.classes.contains(target.name)) {
        target.name = ClassName(target.name.value() + "@" + host + prefix);
    }
    target.repeatable = readRepeatable(rule);
    target.answerWithin = readMilliseconds(rule, "targetLatencyMs");
    target.priority = static_cast<unsigned>(readNumber(rule, "priority"));
    target.deadline = readMilliseconds(action, "timeoutMs");
    target.maxAttempts = static_cast<unsigned>(readNumber(action, "maxAttempts"));
    if (target.deadline.count() == 0 || target.maxAttempts == 0) {
        reject("timeoutMs and maxAttempts of a route must be at least 1");
    }
    readDestination(action, declaration, target);
    declaration.routes.add(host, prefix, target.name);
    declaration.classes.emplace(target.name, std::move(target));
}

} // namespace

VersionedDeclaration parseConfiguration(std::string_view value)
{
    boost::system::error_code error;
    const json::value parsed = json::parse({value.data(), value.size()}, error);
    if (error || !parsed.is_object()) {
        reject("not a JSON object");
    }
    const json::object &root = parsed.get_object();
    VersionedDeclaration result;
    result.version = readVersion(root);
    result.declaration.callerLimits = readLimits(root);
    readServices(root, result.declaration);
    for (const json::value &entry : readArray(root, "listeners")) {
        const json::object &listener = requireObject(entry, "listeners");
        const std::string host = readString(listener, "host");
        for (const json::value &rule : readArray(listener, "rules")) {
            readRule(host, requireObject(rule, "rules"), result.declaration);
        }
    }
    return result;
}

} // namespace bronzeshed
