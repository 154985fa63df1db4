#include "config/declaration.h"

#include "base/error.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <initializer_list>
#include <optional>
#include <string>
#include <toml++/toml.h>

namespace bronzeshed {

namespace {

constexpr std::int64_t MaxMilliseconds = 600000;
constexpr std::int64_t MaxMeasuringBytesPerSecond = 1000000;
constexpr int DefaultDeadlineFactor = 10;
constexpr double MaxServerTimeShare = 0.1;
/** A lower share is most likely a mistake, such as 0.01 instead of 0.99. */
constexpr double MinTargetShare = 0.5;
constexpr double MaxTargetShare = 1.0;

[[noreturn]] void throwError(const toml::node &node, const std::string &problem,
                             const std::string &remedy)
{
    throw DeclarationError("line " + std::to_string(node.source().begin.line) + ": " + problem,
                           remedy);
}

void checkKeys(const toml::table &table, const std::string &path,
               std::initializer_list<std::string_view> known)
{
    std::string list;
    for (const std::string_view key : known) {
        list += (list.empty() ? "" : ", ") + std::string(key);
    }
    for (const auto &[key, node] : table) {
        if (std::find(known.begin(), known.end(), key.str()) == known.end()) {
            throwError(node, path + " has unknown key '" + std::string(key.str()) + "'",
                       list.empty() ? "remove it" : "remove it or use one of: " + list);
        }
    }
}

const toml::table &requireTable(const toml::node &node, const std::string &path)
{
    if (!node.is_table()) {
        throwError(node, path + " is not a table", "write it as [" + path + "]");
    }
    return *node.as_table();
}

std::optional<std::int64_t> readInteger(const toml::table &table, const std::string &path,
                                        std::string_view key, std::int64_t low, std::int64_t high)
{
    const toml::node *node = table.get(key);
    if (node == nullptr) {
        return std::nullopt;
    }
    const auto number = node->value_exact<std::int64_t>();
    if (!number || *number < low || *number > high) {
        throwError(*node, path + "." + std::string(key) + " is not a whole number in range",
                   "give a number from " + std::to_string(low) + " to " + std::to_string(high));
    }
    return number;
}

std::string formatShare(double share)
{
    std::array<char, 32> buffer{};
    const auto result = std::to_chars(buffer.data(), buffer.data() + buffer.size(), share);
    return {buffer.data(), result.ptr};
}

std::optional<double> readShare(const toml::table &table, const std::string &path,
                                std::string_view key, double low, double high)
{
    const toml::node *node = table.get(key);
    if (node == nullptr) {
        return std::nullopt;
    }
    const auto share = node->is_number() ? node->value<double>() : std::nullopt;
    if (!share || !(*share >= low) || *share > high) {
        throwError(*node, path + "." + std::string(key) + " is not a share in range",
                   "give a number from " + formatShare(low) + " to " + formatShare(high));
    }
    return share;
}

void validateName(const toml::node &node, const std::string &kind, std::string_view name)
{
    const auto isAllowed
        = [](unsigned char c) { return std::isalnum(c) != 0 || c == '-' || c == '_'; };
    if (name.empty() || name.size() > 64 || !std::all_of(name.begin(), name.end(), isAllowed)) {
        throwError(node, kind + " name '" + std::string(name) + "' is malformed",
                   "use 1 to 64 letters, digits, '-' and '_'");
    }
}

MeasuringBudget parseMeasuring(const toml::table &root)
{
    MeasuringBudget budget;
    const toml::node *node = root.get("measuring");
    if (node == nullptr) {
        return budget;
    }
    const toml::table &table = requireTable(*node, "measuring");
    checkKeys(table, "measuring", {"server_time_share", "bytes_per_second"});
    budget.serverTimeShare
        = readShare(table, "measuring", "server_time_share", 0.0, MaxServerTimeShare)
              .value_or(budget.serverTimeShare);
    const auto bytes
        = readInteger(table, "measuring", "bytes_per_second", 0, MaxMeasuringBytesPerSecond);
    budget.bytesPerSecond = bytes ? static_cast<std::uint64_t>(*bytes) : budget.bytesPerSecond;
    return budget;
}

std::set<ServiceName> parseServices(const toml::table &root)
{
    std::set<ServiceName> services;
    const toml::node *node = root.get("service");
    if (node == nullptr) {
        throwError(root, "service is missing", "add a table such as [service.almanac]");
    }
    const toml::table &table = requireTable(*node, "service");
    if (table.empty()) {
        throwError(table, "service has no entry", "add a table such as [service.almanac]");
    }
    for (const auto &[key, entry] : table) {
        validateName(entry, "service", key.str());
        const std::string path = "service." + std::string(key.str());
        checkKeys(requireTable(entry, path), path, {});
        services.insert(ServiceName(std::string(key.str())));
    }
    return services;
}

bool readRepeatable(const toml::table &table, const std::string &path)
{
    const toml::node *node = table.get("repeatable");
    if (node == nullptr || !node->is_boolean()) {
        throwError(node == nullptr ? table : *node, path + ".repeatable is not true or false",
                   "state whether a request may be run more than once");
    }
    return *node->value<bool>();
}

ClassTarget parseClass(const std::string &name, const toml::table &table,
                       const std::set<ServiceName> &services)
{
    const std::string path = "class." + name;
    checkKeys(table, path, {"service", "answer_within_ms", "share", "repeatable", "deadline_ms"});
    ClassTarget target;
    target.name = ClassName(name);

    const toml::node *service = table.get("service");
    if (service == nullptr || !service->is_string()) {
        throwError(service == nullptr ? table : *service, path + ".service is not a text",
                   "name a declared service");
    }
    target.service = ServiceName(*service->value<std::string>());
    if (!services.contains(target.service)) {
        throwError(*service, path + ".service '" + target.service.value() + "' is not declared",
                   "add [service." + target.service.value() + "] or name a declared service");
    }

    const auto within = readInteger(table, path, "answer_within_ms", 1, MaxMilliseconds);
    if (!within) {
        throwError(table, path + ".answer_within_ms is missing", "state how late an answer may be");
    }
    target.answerWithin = std::chrono::milliseconds(*within);
    target.share
        = readShare(table, path, "share", MinTargetShare, MaxTargetShare).value_or(target.share);
    target.repeatable = readRepeatable(table, path);
    const auto deadline = readInteger(table, path, "deadline_ms", *within, MaxMilliseconds);
    const std::int64_t fallback = std::min(*within * DefaultDeadlineFactor, MaxMilliseconds);
    target.deadline = std::chrono::milliseconds(deadline.value_or(fallback));
    return target;
}

} // namespace

Declaration parseDeclaration(std::string_view text)
{
    toml::table root;
    try {
        root = toml::parse(text);
    } catch (const toml::parse_error &error) {
        throw DeclarationError("line " + std::to_string(error.source().begin.line) + ": "
                                   + std::string(error.description()),
                               "fix the TOML syntax");
    }
    checkKeys(root, "the declaration", {"measuring", "service", "class"});
    Declaration declaration;
    declaration.measuring = parseMeasuring(root);
    declaration.services = parseServices(root);
    const toml::node *classes = root.get("class");
    if (classes == nullptr) {
        throwError(root, "class is missing", "add a table such as [class.schedule-reads]");
    }
    const toml::table &classTable = requireTable(*classes, "class");
    if (classTable.empty()) {
        throwError(classTable, "class has no entry", "add a table such as [class.schedule-reads]");
    }
    for (const auto &[key, entry] : classTable) {
        validateName(entry, "class", key.str());
        const std::string name(key.str());
        const toml::table &table = requireTable(entry, "class." + name);
        declaration.classes.emplace(ClassName(name), parseClass(name, table, declaration.services));
    }
    return declaration;
}

} // namespace bronzeshed
