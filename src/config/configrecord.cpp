#include "config/configrecord.h"

#include "base/error.h"

#include <boost/json.hpp>

namespace bronzeshed {

namespace json = boost::json;

namespace {

const std::string Remedy = "restore the record from the audit trail or apply a declaration again";

[[noreturn]] void rejectField(const char *key)
{
    throw ProtocolError(std::string("the configuration record has no valid field '") + key + "'",
                        Remedy);
}

std::string readText(const json::object &object, const char *key)
{
    const auto *value = object.if_contains(key);
    if (value == nullptr || !value->is_string()) {
        rejectField(key);
    }
    return std::string(value->get_string());
}

std::int64_t readNumber(const json::object &object, const char *key)
{
    const auto *value = object.if_contains(key);
    if (value == nullptr || !value->is_int64() || value->get_int64() < 0) {
        rejectField(key);
    }
    return value->get_int64();
}

const json::array &readArray(const json::object &object, const char *key)
{
    const auto *value = object.if_contains(key);
    if (value == nullptr || !value->is_array()) {
        rejectField(key);
    }
    return value->get_array();
}

const json::object &asObject(const json::value &value, const char *key)
{
    if (!value.is_object()) {
        rejectField(key);
    }
    return value.get_object();
}

json::array writeAuditEntries(const std::vector<AuditEntry> &entries)
{
    json::array audit;
    for (const AuditEntry &entry : entries) {
        audit.push_back({{"time_ms", entry.timeMs},
                         {"operator", entry.operatorName},
                         {"action", entry.action},
                         {"from", static_cast<std::int64_t>(entry.from.value())},
                         {"to", static_cast<std::int64_t>(entry.to.value())},
                         {"write_id", entry.writeId}});
    }
    return audit;
}

AuditEntry readAuditEntry(const json::object &object)
{
    AuditEntry entry;
    entry.timeMs = readNumber(object, "time_ms");
    entry.operatorName = readText(object, "operator");
    entry.action = readText(object, "action");
    entry.from = ConfigVersion(static_cast<std::uint64_t>(readNumber(object, "from")));
    entry.to = ConfigVersion(static_cast<std::uint64_t>(readNumber(object, "to")));
    entry.writeId = readText(object, "write_id");
    return entry;
}

} // namespace

bool supersedes(const DrainFlag &candidate, const DrainFlag &current)
{
    const bool sameCounter = candidate.counter == current.counter;
    return candidate.counter > current.counter
        || (sameCounter && candidate.leaving && !current.leaving);
}

bool mergeDrainFlags(DrainFlags &target, const DrainFlags &source)
{
    bool changed = false;
    for (const auto &[upstream, flag] : source) {
        DrainFlag &current = target[upstream];
        if (supersedes(flag, current)) {
            current = flag;
            changed = true;
        }
    }
    return changed;
}

std::size_t removeExpiredDrainFlags(DrainFlags &flags, const std::set<UpstreamId> &listed,
                                    std::int64_t nowMs)
{
    constexpr std::int64_t LifetimeMs = std::chrono::milliseconds(DrainFlagLifetime).count();
    if (listed.empty()) {
        return 0;
    }
    return std::erase_if(flags, [&](const auto &item) {
        const auto setAtMs = static_cast<std::int64_t>(item.second.counter);
        return nowMs - setAtMs >= LifetimeMs && !listed.contains(item.first);
    });
}

std::string serializeAuditEntries(const std::vector<AuditEntry> &entries)
{
    return json::serialize(writeAuditEntries(entries));
}

std::vector<AuditEntry> parseAuditEntries(const std::string &text)
{
    boost::system::error_code error;
    const json::value root = json::parse(text, error);
    if (error || !root.is_array()) {
        throw ProtocolError("the audit page is not a JSON array", Remedy);
    }
    std::vector<AuditEntry> entries;
    for (const json::value &item : root.get_array()) {
        entries.push_back(readAuditEntry(asObject(item, "audit")));
    }
    return entries;
}

std::string serializeConfigRecord(const ConfigRecord &record)
{
    json::array flags;
    for (const auto &[upstream, flag] : record.drainFlags) {
        flags.push_back({{"upstream", upstream.value()},
                         {"counter", static_cast<std::int64_t>(flag.counter)},
                         {"leaving", flag.leaving}});
    }
    const json::object root{{"version", static_cast<std::int64_t>(record.version.value())},
                            {"declaration", record.declarationText},
                            {"write_id", record.writeId},
                            {"leave_marks", std::move(flags)},
                            {"audit", writeAuditEntries(record.audit)},
                            {"archived_pages", static_cast<std::int64_t>(record.archivedPages)}};
    return json::serialize(root);
}

ConfigRecord parseConfigRecord(const std::string &text)
{
    boost::system::error_code error;
    const json::value root = json::parse(text, error);
    if (error || !root.is_object()) {
        throw ProtocolError("the configuration record is not a JSON object", Remedy);
    }
    const json::object &object = root.get_object();
    ConfigRecord record;
    record.version = ConfigVersion(static_cast<std::uint64_t>(readNumber(object, "version")));
    record.declarationText = readText(object, "declaration");
    record.writeId = readText(object, "write_id");
    for (const json::value &item : readArray(object, "leave_marks")) {
        const json::object &flag = asObject(item, "leave_marks");
        const auto *leaving = flag.if_contains("leaving");
        if (leaving == nullptr || !leaving->is_bool()) {
            rejectField("leaving");
        }
        const auto counter = static_cast<std::uint64_t>(readNumber(flag, "counter"));
        record.drainFlags[UpstreamId(readText(flag, "upstream"))] = {counter, leaving->get_bool()};
    }
    for (const json::value &item : readArray(object, "audit")) {
        record.audit.push_back(readAuditEntry(asObject(item, "audit")));
    }
    // Records of versions without audit pages lack this field.
    if (object.contains("archived_pages")) {
        record.archivedPages = static_cast<std::uint64_t>(readNumber(object, "archived_pages"));
    }
    return record;
}

} // namespace bronzeshed
