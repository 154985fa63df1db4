#include "platform/configuration.h"

#include "base/error.h"
#include "base/parsenumber.h"

#include <boost/json.hpp>

namespace bronzeshed {

namespace json = boost::json;

namespace {

[[noreturn]] void reject(const std::string &problem)
{
    throw DeclarationError("the configuration " + problem, "write a valid one to the store");
}

const json::value &require(const json::object &object, const char *name)
{
    const json::value *value = object.if_contains(name);
    if (value == nullptr) {
        reject(std::string("has no '") + name + "'");
    }
    return *value;
}

const json::object &asObject(const json::value &value, const char *what)
{
    if (!value.is_object()) {
        reject(std::string("has a '") + what + "' that is no object");
    }
    return value.get_object();
}

const json::array &readArray(const json::object &object, const char *name)
{
    const json::value &value = require(object, name);
    if (!value.is_array()) {
        reject(std::string("has a '") + name + "' that is no list");
    }
    return value.get_array();
}

std::string readText(const json::object &object, const char *name)
{
    const json::value &value = require(object, name);
    if (!value.is_string() || value.get_string().empty()) {
        reject(std::string("has a '") + name + "' that is no text");
    }
    return std::string(value.get_string());
}

double readNumber(const json::object &object, const char *name)
{
    const json::value &value = require(object, name);
    if (!value.is_number() || value.to_number<double>() < 0) {
        reject(std::string("has a '") + name + "' that is no number of at least 0");
    }
    return value.to_number<double>();
}

std::chrono::milliseconds readMilliseconds(const json::object &object, const char *name)
{
    return std::chrono::milliseconds(static_cast<std::int64_t>(readNumber(object, name)));
}

ConfigVersion readVersion(const json::object &root)
{
    const std::string text = readText(root, "version");
    const auto number = parseNumber(std::string_view(text).substr(1));
    if (text.front() != 'r' || !number) {
        reject("has the malformed version '" + text + "'");
    }
    return ConfigVersion(*number);
}

CallerLimits readLimits(const json::object &root)
{
    const json::object &object = asObject(require(root, "limits"), "limits");
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
        const json::object &object = asObject(entry, "clusters");
        const ServiceName name(readText(object, "name"));
        declaration.services.insert(name);
        declaration.serviceSettings[name].healthPath = readText(object, "healthPath");
    }
}

void readDestination(const json::object &action, const Declaration &declaration,
                     ClassTarget &target)
{
    const auto checkKnown = [&](const ServiceName &service) {
        if (!declaration.services.contains(service)) {
            reject("names the unknown service '" + service.value() + "'");
        }
    };
    if (!action.contains("trafficSplit")) {
        target.service = ServiceName(readText(action, "service"));
        checkKnown(target.service);
        return;
    }
    double total = 0;
    for (const json::value &entry : readArray(action, "trafficSplit")) {
        const json::object &part = asObject(entry, "trafficSplit");
        WeightedService weighted{ServiceName(readText(part, "service")),
                                 readNumber(part, "weight")};
        checkKnown(weighted.service);
        total += weighted.weight;
        target.split.push_back(std::move(weighted));
    }
    if (total <= 0) {
        reject("has a split without a weight above 0");
    }
    target.service = target.split.front().service;
}

bool readRepeatable(const json::object &rule)
{
    const std::string kind = readText(rule, "kind");
    if (kind != "safe" && kind != "unsafe") {
        reject("has the unknown kind '" + kind + "'");
    }
    return kind == "safe";
}

void readRule(const std::string &host, const json::object &rule, Declaration &declaration)
{
    const std::string prefix = readText(asObject(require(rule, "match"), "match"), "prefix");
    if (prefix.front() != '/' || prefix.back() != '/') {
        reject("has the prefix '" + prefix + "' that does not begin and end with a slash");
    }
    const json::object &action = asObject(require(rule, "action"), "action");
    ClassTarget target;
    target.name = ClassName(readText(rule, "name"));
    if (declaration.classes.contains(target.name)) {
        target.name = ClassName(target.name.value() + "@" + host + prefix);
    }
    target.repeatable = readRepeatable(rule);
    target.answerWithin = readMilliseconds(rule, "targetLatencyMs");
    target.priority = static_cast<unsigned>(readNumber(rule, "priority"));
    target.deadline = readMilliseconds(action, "timeoutMs");
    target.maxAttempts = static_cast<unsigned>(readNumber(action, "maxAttempts"));
    if (target.deadline.count() == 0 || target.maxAttempts == 0) {
        reject("has a route without timeout or attempts");
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
        reject("is not a JSON object");
    }
    const json::object &root = parsed.get_object();
    VersionedDeclaration result;
    result.version = readVersion(root);
    result.declaration.callerLimits = readLimits(root);
    readServices(root, result.declaration);
    for (const json::value &entry : readArray(root, "listeners")) {
        const json::object &listener = asObject(entry, "listeners");
        const std::string host = readText(listener, "host");
        for (const json::value &rule : readArray(listener, "rules")) {
            readRule(host, asObject(rule, "rules"), result.declaration);
        }
    }
    return result;
}

} // namespace bronzeshed
