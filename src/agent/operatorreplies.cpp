#include "agent/operatorreplies.h"

#include "base/error.h"
#include "config/declaration.h"
#include "membership/membershiptable.h"

#include <boost/json.hpp>

namespace bronzeshed {

namespace json = boost::json;

namespace {

std::int64_t toJson(ConfigVersion version)
{
    return static_cast<std::int64_t>(version.value());
}

HttpResponse reply(unsigned status, const json::value &body)
{
    return makeJsonResponse(status, json::serialize(body) + "\n");
}

/** Visitor that makes the response for each alternative of ChangeResult. */
struct ChangeResponseWriter
{
    HttpResponse operator()(const ChangeAccepted &accepted) const
    {
        return reply(200, {{"outcome", "accepted"}, {"version", toJson(accepted.version)}});
    }
    HttpResponse operator()(const ChangeConflict &conflict) const
    {
        return reply(409,
                     {{"outcome", "conflict"},
                      {"operator", conflict.operatorName},
                      {"version", toJson(conflict.version)},
                      {"error", "another change came first; compare with 'diff' and apply again"}});
    }
    HttpResponse operator()(const ChangeRefused &refused) const
    {
        return reply(422, {{"outcome", "refused"}, {"error", refused.error}});
    }
    HttpResponse operator()(const ChangeUnknown &unknown) const
    {
        return reply(504,
                     {{"outcome", "unknown"},
                      {"write_id", unknown.writeId},
                      {"error",
                       "the store did not say whether the change took effect; look for the write "
                       "id with 'history' before applying again"}});
    }
    HttpResponse operator()(const StoreUnavailable &unavailable) const
    {
        return reply(503, {{"outcome", "store_unavailable"}, {"error", unavailable.error}});
    }
    HttpResponse operator()(const DrainFlagActive &flag) const
    {
        return reply(202,
                     {{"outcome", "in_force_not_recorded"},
                      {"write_id", flag.writeId},
                      {"error",
                       "the mark is in force and spreads but is not yet recorded in the store; "
                       "keep this agent running until 'history' shows the write id"}});
    }
};

json::array writeMembers(const std::vector<Member> &members)
{
    json::array instances;
    for (const Member &member : members) {
        instances.push_back({{"id", member.id.value()},
                             {"region", member.region.value()},
                             {"zone", member.zone.value()},
                             {"state", memberStateName(member.state)},
                             {"version", toJson(member.configVersion)}});
    }
    return instances;
}

json::array writeUpstreams(const ConfigRecord &record, const std::vector<UpstreamInfo> &upstreams)
{
    json::array list;
    for (const UpstreamInfo &upstream : upstreams) {
        const auto flag = record.drainFlags.find(upstream.id);
        const bool hasDrainFlag = flag != record.drainFlags.end() && flag->second.leaving;
        list.push_back({{"id", upstream.id.value()},
                        {"service", upstream.service.value()},
                        {"region", upstream.region.value()},
                        {"zone", upstream.zone.value()},
                        {"leaving", upstream.leaving || hasDrainFlag}});
    }
    return list;
}

/** Returns whether the target is met. An unanswered call counts as outside the target. */
const char *targetState(const CallCounts &counts, double share)
{
    if (counts.calls() == 0) {
        return "no calls";
    }
    // The product of a decimal share and a count may be slightly above the exact value.
    constexpr double Rounding = 1e-9;
    const auto calls = static_cast<double>(counts.calls());
    const auto within = static_cast<double>(counts.withinTarget);
    return within >= calls * (share - Rounding) ? "holds" : "missed";
}

json::object writeLastMinute(const CallCounts &counts, double share)
{
    const auto within = static_cast<double>(counts.withinTarget);
    json::value sharePart;
    if (counts.calls() > 0) {
        sharePart = within / static_cast<double>(counts.calls());
    }
    return {{"calls", static_cast<std::int64_t>(counts.calls())},
            {"within_target", static_cast<std::int64_t>(counts.withinTarget)},
            {"late", static_cast<std::int64_t>(counts.late)},
            {"not_run", static_cast<std::int64_t>(counts.notRun)},
            {"unknown", static_cast<std::int64_t>(counts.unknown)},
            {"share_within_target", sharePart},
            {"state", targetState(counts, share)}};
}

json::array writeClasses(const std::string &declarationText, const FleetCalls *calls)
{
    json::array classes;
    if (declarationText.empty()) {
        return classes;
    }
    const Declaration declaration = parseDeclaration(declarationText);
    for (const auto &[name, target] : declaration.classes) {
        json::object item{{"name", name.value()},
                          {"service", target.service.value()},
                          {"answer_within_ms", target.answerWithin.count()},
                          {"share", target.share},
                          {"repeatable", target.repeatable},
                          {"deadline_ms", target.deadline.count()}};
        if (calls != nullptr) {
            const auto found = calls->classes.find(name);
            const bool hasCalls = found != calls->classes.end();
            item["last_minute"]
                = writeLastMinute(hasCalls ? found->second : CallCounts{}, target.share);
        }
        classes.push_back(std::move(item));
    }
    return classes;
}

} // namespace

HttpResponse changeResponse(const ChangeResult &result)
{
    return std::visit(ChangeResponseWriter{}, result);
}

HttpResponse failureResponse(unsigned status, const std::string &problem, const std::string &remedy)
{
    return reply(status, {{"outcome", "failed"}, {"error", problem + "; " + remedy}});
}

HttpResponse declarationResponse(const ConfigRecord &record)
{
    return reply(200,
                 {{"version", toJson(record.version)}, {"declaration", record.declarationText}});
}

HttpResponse statusResponse(const ConfigRecord &record, const std::vector<Member> &members,
                            const std::vector<UpstreamInfo> &upstreams, const FleetCalls *calls)
{
    json::object body{{"version", toJson(record.version)},
                      {"instances", writeMembers(members)},
                      {"upstreams", writeUpstreams(record, upstreams)},
                      {"classes", writeClasses(record.declarationText, calls)}};
    if (calls != nullptr) {
        json::array missing;
        for (const InstanceId &id : calls->notCounted) {
            missing.emplace_back(id.value());
        }
        body["counted_ms_ago"] = calls->age.count();
        body["asked_instances"] = static_cast<std::int64_t>(calls->instances);
        body["not_counted"] = std::move(missing);
    }
    return reply(200, body);
}

HttpResponse historyResponse(const ConfigRecord &record)
{
    return reply(200,
                 {{"version", toJson(record.version)},
                  {"archived_pages", static_cast<std::int64_t>(record.archivedPages)},
                  {"entries", json::parse(serializeAuditEntries(record.audit))}});
}

} // namespace bronzeshed
