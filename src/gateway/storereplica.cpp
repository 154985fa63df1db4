#include "gateway/storereplica.h"

#include "base/error.h"
#include "base/logline.h"
#include "platform/configuration.h"

#include <algorithm>
#include <boost/json.hpp>
#include <set>

namespace bronzeshed {

namespace {

/** Changes kept for entries that watch this replica; an entry further behind reads all items. */
constexpr std::size_t MaxChangeLogSize = 512;
/** The error may quote a malformed value of any size. */
constexpr std::size_t MaxLoggedError = 300;

/** Returns the part of @p key after @p prefix, or nothing if the prefix differs or is all of it. */
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
        throw ProtocolError(std::string("a member record has no string '") + name + "'",
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
        throw ProtocolError("a member record is not a JSON object",
                            "check which program writes this key");
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

StoreReplica::StoreReplica(ZoneRegions regions)
    : regions(std::move(regions))
{
}

bool StoreReplica::replaceAll(const StoreRange &range, DeletionKind missing, TimePoint now)
{
    const bool first = this->asOf.value() == 0;
    bool changed = false;
    std::vector<StoreEvent> differences;
    std::set<std::string> present;
    for (const StoreItem &item : range.items) {
        present.insert(item.key);
        if (this->put(item)) {
            changed = true;
            differences.push_back({item});
        }
    }
    std::vector<std::string> absent;
    for (const auto &[key, item] : this->items) {
        if (!present.contains(key)) {
            absent.push_back(key);
        }
    }
    for (const std::string &key : absent) {
        changed |= this->erase(key, missing, now);
        StoreEvent deletion;
        deletion.item.key = key;
        deletion.item.revision = range.asOf;
        deletion.deleted = true;
        deletion.mayReturn = missing == DeletionKind::Expired;
        differences.push_back(std::move(deletion));
    }
    this->asOf = range.asOf;
    if (first) {
        this->changeLogStart = range.asOf;
        return changed;
    }
    std::stable_sort(differences.begin(), differences.end(),
                     [](const StoreEvent &left, const StoreEvent &right) {
                         return left.item.revision < right.item.revision;
                     });
    for (StoreEvent &difference : differences) {
        this->changeLog.push_back(std::move(difference));
    }
    this->trimChangeLog();
    return changed;
}

void StoreReplica::trimChangeLog()
{
    while (this->changeLog.size() > MaxChangeLogSize) {
        this->changeLogStart = this->changeLog.front().item.revision;
        this->changeLog.pop_front();
    }
}

bool StoreReplica::apply(const StoreChanges &changes, DeletionKind deletion, TimePoint now)
{
    bool changed = false;
    for (StoreEvent event : changes.events) {
        // Another entry may not have noticed the outage after which the key may return.
        event.mayReturn |= event.deleted && deletion == DeletionKind::Expired;
        const DeletionKind kind = event.mayReturn ? DeletionKind::Expired : DeletionKind::Final;
        changed |= event.deleted ? this->erase(event.item.key, kind, now) : this->put(event.item);
        this->changeLog.push_back(std::move(event));
    }
    this->trimChangeLog();
    this->asOf = std::max(this->asOf, changes.asOf);
    return changed;
}

const StoreItem *StoreReplica::memberItem(const InstanceId &id) const
{
    const auto found = this->items.find(std::string(MemberPrefix) + id.value());
    return found == this->items.end() || !this->members.contains(id) ? nullptr : &found->second;
}

bool StoreReplica::put(const StoreItem &item)
{
    this->expired.erase(item.key);
    StoreItem &current = this->items[item.key];
    if (item.revision <= current.revision) {
        return false;
    }
    current = item;
    this->decode(item);
    return true;
}

bool StoreReplica::erase(const std::string &key, DeletionKind kind, TimePoint now)
{
    if (!this->items.contains(key)) {
        return false;
    }
    if (kind == DeletionKind::Expired) {
        this->expired.try_emplace(key, now + ExpiryGrace);
        return false;
    }
    this->dropItem(key);
    return true;
}

bool StoreReplica::dropExpired(TimePoint now)
{
    std::vector<std::string> expiredKeys;
    for (const auto &[key, end] : this->expired) {
        if (end <= now) {
            expiredKeys.push_back(key);
        }
    }
    for (const std::string &key : expiredKeys) {
        LogLine("expired_key_removed").add("key", key);
        this->dropItem(key);
    }
    return !expiredKeys.empty();
}

std::optional<TimePoint> StoreReplica::nextExpiry() const
{
    std::optional<TimePoint> next;
    for (const auto &[key, end] : this->expired) {
        next = next ? std::min(*next, end) : end;
    }
    return next;
}

void StoreReplica::dropItem(const std::string &key)
{
    this->expired.erase(key);
    this->items.erase(key);
    if (const auto id = afterPrefix(key, RegistrationPrefix)) {
        this->upstreams.erase(UpstreamId(std::string(*id)));
        LogLine("upstream_removed").add("upstream", *id);
    } else if (const auto member = afterPrefix(key, MemberPrefix)) {
        this->members.erase(InstanceId(std::string(*member)));
        LogLine("entry_removed").add("entry", *member);
    } else if (afterPrefix(key, WorkTimePrefix)) {
        this->workTimes.erase(key);
    }
}

void StoreReplica::decode(const StoreItem &item)
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
            LogLine("upstream_registered")
                .add("upstream", id.value())
                .add("service", info.service.value())
                .add("leaving", info.leaving)
                .add("revision", item.revision.value());
        } else if (member) {
            const InstanceId id{std::string(*member)};
            this->members.erase(id);
            this->members.emplace(id, decodeMember(*member, item.value));
            LogLine("entry_registered").add("entry", id.value());
        } else if (afterPrefix(item.key, WorkTimePrefix)) {
            this->workTimes.erase(item.key);
            this->workTimes.emplace(item.key, decodeWorkTimes(item.value));
        }
    } catch (const std::exception &error) {
        // Whatever another writer leaves in the store, all other items stay in use.
        LogLine("store_item_rejected", LogLevel::Warning)
            .add("key", item.key)
            .add("revision", item.revision.value())
            .add("error", std::string_view(error.what()).substr(0, MaxLoggedError));
    }
}

void StoreReplica::decodeConfiguration(const StoreItem &item)
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

FleetState StoreReplica::state() const
{
    FleetState state{this->version, this->declaration, {}, {}, {}};
    for (const auto &[id, upstream] : this->upstreams) {
        state.upstreams.push_back(upstream);
    }
    for (const auto &[id, member] : this->members) {
        state.members.push_back(member);
    }
    std::vector<WorkTimes> records;
    for (const auto &[key, times] : this->workTimes) {
        records.push_back(times);
    }
    state.workTimes = meanWorkTimes(records);
    return state;
}

StoreRange StoreReplica::snapshot(bool withExpired) const
{
    StoreRange range;
    range.asOf = this->asOf;
    for (const auto &[key, item] : this->items) {
        if (withExpired || !this->expired.contains(key)) {
            range.items.push_back(item);
        }
    }
    return range;
}

StoreChanges StoreReplica::changesSince(StoreRevision after) const
{
    StoreChanges changes;
    changes.asOf = std::max(this->asOf, after);
    changes.historyLost = after < this->changeLogStart;
    if (changes.historyLost) {
        return changes;
    }
    std::map<std::string_view, std::size_t> newest; // index of the newest change of each key
    for (std::size_t i = 0; i < this->changeLog.size(); ++i) {
        newest[this->changeLog[i].item.key] = i;
    }
    for (std::size_t i = 0; i < this->changeLog.size(); ++i) {
        const StoreItem &item = this->changeLog[i].item;
        if (item.revision > after && newest[item.key] == i) {
            changes.events.push_back(this->changeLog[i]);
        }
    }
    return changes;
}

} // namespace bronzeshed
