#include "gateway/registry.h"

#include "base/error.h"
#include "base/logline.h"
#include "platform/configuration.h"

#include <algorithm>
#include <boost/json.hpp>
#include <set>

namespace bronzeshed {

namespace {

/** Changes kept for entries that read this copy; they read all items anew beyond that. */
constexpr std::size_t MaxLogSize = 512;

/** The part of @p key after @p prefix, or nothing if it does not begin with it. */
std::optional<std::string_view> afterPrefix(std::string_view key, std::string_view prefix)
{
    if (!key.starts_with(prefix) || key.size() == prefix.size()) {
        return std::nullopt;
    }
    return key.substr(prefix.size());
}

std::string readText(const boost::json::object &object, const char *name)
{
    const auto *value = object.if_contains(name);
    if (value == nullptr || !value->is_string()) {
        throw ProtocolError(std::string("a member record has no text '") + name + "'",
                            "check that all entries run the same release");
    }
    return std::string(value->get_string());
}

} // namespace

std::string encodeMember(const Member &member)
{
    return boost::json::serialize(boost::json::object{{"region", member.region.value()},
                                                      {"zone", member.zone.value()},
                                                      {"callers", member.callerEndpoint.toString()},
                                                      {"peers", member.agentEndpoint.toString()}});
}

Member decodeMember(std::string_view id, std::string_view value)
{
    boost::system::error_code error;
    const auto root = boost::json::parse({value.data(), value.size()}, error);
    if (error || !root.is_object()) {
        throw ProtocolError("a member record is not a JSON object", "check who wrote it");
    }
    const auto &object = root.get_object();
    Member member;
    member.id = InstanceId(std::string(id));
    member.region = RegionName(readText(object, "region"));
    member.zone = ZoneName(readText(object, "zone"));
    member.callerEndpoint = parseEndpoint(readText(object, "callers"), "member record");
    member.agentEndpoint = parseEndpoint(readText(object, "peers"), "member record");
    return member;
}

Registry::Registry(ZoneRegions regions)
    : regions(std::move(regions))
{
}

bool Registry::replaceAll(const StoreRange &range, DeletionMeaning missing, TimePoint now)
{
    bool changed = false;
    std::set<std::string> present;
    for (const StoreItem &item : range.items) {
        present.insert(item.key);
        changed |= this->put(item);
    }
    std::vector<std::string> absent;
    for (const auto &[key, item] : this->items) {
        if (!present.contains(key)) {
            absent.push_back(key);
        }
    }
    for (const std::string &key : absent) {
        changed |= this->erase(key, missing, now);
    }
    this->asOf = range.asOf;
    this->log.clear();
    this->logStart = range.asOf;
    return changed;
}

bool Registry::apply(const StoreChanges &changes, DeletionMeaning deletion, TimePoint now)
{
    bool changed = false;
    for (const StoreEvent &event : changes.events) {
        changed
            |= event.deleted ? this->erase(event.item.key, deletion, now) : this->put(event.item);
        this->log.push_back(event);
    }
    while (this->log.size() > MaxLogSize) {
        this->logStart = this->log.front().item.revision;
        this->log.pop_front();
    }
    this->asOf = std::max(this->asOf, changes.asOf);
    return changed;
}

bool Registry::put(const StoreItem &item)
{
    this->lapsed.erase(item.key);
    StoreItem &known = this->items[item.key];
    if (item.revision <= known.revision) {
        return false;
    }
    known = item;
    this->decode(item);
    return true;
}

bool Registry::erase(const std::string &key, DeletionMeaning meaning, TimePoint now)
{
    if (!this->items.contains(key)) {
        return false;
    }
    if (meaning == DeletionMeaning::Lapsed) {
        this->lapsed.try_emplace(key, now + LapseGrace);
        return false;
    }
    this->forget(key);
    return true;
}

bool Registry::dropLapsed(TimePoint now)
{
    std::vector<std::string> over;
    for (const auto &[key, end] : this->lapsed) {
        if (end <= now) {
            over.push_back(key);
        }
    }
    for (const std::string &key : over) {
        LogLine("lapsed_key_dropped").add("key", key);
        this->forget(key);
    }
    return !over.empty();
}

std::optional<TimePoint> Registry::nextLapse() const
{
    std::optional<TimePoint> next;
    for (const auto &[key, end] : this->lapsed) {
        next = next ? std::min(*next, end) : end;
    }
    return next;
}

void Registry::forget(const std::string &key)
{
    this->lapsed.erase(key);
    this->items.erase(key);
    if (const auto id = afterPrefix(key, RegistrationPrefix)) {
        this->upstreams.erase(UpstreamId(std::string(*id)));
        LogLine("upstream_gone").add("upstream", *id);
    } else if (const auto member = afterPrefix(key, MemberPrefix)) {
        this->members.erase(InstanceId(std::string(*member)));
        LogLine("entry_gone").add("entry", *member);
    }
}

void Registry::decode(const StoreItem &item)
{
    const auto upstream = afterPrefix(item.key, RegistrationPrefix);
    const auto member = afterPrefix(item.key, MemberPrefix);
    try {
        if (item.key == ConfigurationKey) {
            this->decodeConfiguration(item);
        } else if (upstream) {
            const UpstreamId id{std::string(*upstream)};
            this->upstreams.erase(id);
            const UpstreamInfo info = parseRegistration(*upstream, item.value, this->regions);
            this->upstreams.emplace(id, info);
            LogLine("upstream_listed")
                .add("upstream", id.value())
                .add("service", info.service.value())
                .add("leaving", info.leaving)
                .add("revision", item.revision.value());
        } else if (member) {
            const InstanceId id{std::string(*member)};
            this->members.erase(id);
            this->members.emplace(id, decodeMember(*member, item.value));
            LogLine("entry_listed").add("entry", id.value());
        }
    } catch (const Error &error) {
        LogLine("store_item_rejected", LogLevel::Warning)
            .add("key", item.key)
            .add("revision", item.revision.value())
            .add("error", error.what());
    }
}

void Registry::decodeConfiguration(const StoreItem &item)
{
    VersionedDeclaration parsed = parseConfiguration(item.value);
    if (this->declaration && parsed.version <= this->version) {
        LogLine("configuration_ignored", LogLevel::Warning)
            .add("version", parsed.version.value())
            .add("in_force", this->version.value());
        return;
    }
    LogLine("configuration_read")
        .add("from", this->version.value())
        .add("to", parsed.version.value())
        .add("revision", item.revision.value())
        .add("routes", parsed.declaration.classes.size());
    this->version = parsed.version;
    this->declaration = std::make_shared<const Declaration>(std::move(parsed.declaration));
}

FleetState Registry::state() const
{
    FleetState state{this->version, this->declaration, {}, {}};
    for (const auto &[id, upstream] : this->upstreams) {
        state.upstreams.push_back(upstream);
    }
    for (const auto &[id, member] : this->members) {
        state.members.push_back(member);
    }
    return state;
}

StoreRange Registry::snapshot(bool withLapsed) const
{
    StoreRange range;
    range.asOf = this->asOf;
    for (const auto &[key, item] : this->items) {
        if (withLapsed || !this->lapsed.contains(key)) {
            range.items.push_back(item);
        }
    }
    return range;
}

StoreChanges Registry::changesSince(StoreRevision after) const
{
    StoreChanges changes;
    changes.asOf = std::max(this->asOf, after);
    changes.historyLost = after < this->logStart;
    if (changes.historyLost) {
        return changes;
    }
    std::map<std::string_view, std::size_t> newest; // by key, the place in the log
    for (std::size_t i = 0; i < this->log.size(); ++i) {
        newest[this->log[i].item.key] = i;
    }
    for (std::size_t i = 0; i < this->log.size(); ++i) {
        const StoreItem &item = this->log[i].item;
        if (item.revision > after && newest[item.key] == i) {
            changes.events.push_back(this->log[i]);
        }
    }
    return changes;
}

} // namespace bronzeshed
