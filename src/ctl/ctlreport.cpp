#include "ctl/ctlreport.h"

#include <array>
#include <boost/json.hpp>
#include <cstdio>
#include <sstream>

namespace bronzeshed {

namespace json = boost::json;

namespace {

std::string stringField(const json::value &object, const char *key)
{
    return std::string(object.at(key).as_string());
}

/** Percentage truncated to two decimals: rounding could make a missed target look reached. */
std::string formatShare(std::int64_t part, std::int64_t whole)
{
    std::array<char, 32> buffer{};
    const std::int64_t hundredths = part * 10000 / whole;
    std::snprintf(buffer.data(), buffer.size(), "%lld.%02lld%%",
                  static_cast<long long>(hundredths / 100),
                  static_cast<long long>(hundredths % 100));
    return buffer.data();
}

std::string formatLastMinute(const json::object &item)
{
    const auto *found = item.if_contains("last_minute");
    if (found == nullptr) {
        return "  not reported: the agent is of an older version";
    }
    const std::int64_t calls = found->at("calls").as_int64();
    std::string state = "  " + stringField(*found, "state");
    if (calls == 0) {
        return state;
    }
    return "  " + std::to_string(calls) + " calls  "
        + formatShare(found->at("within_target").as_int64(), calls) + " within target" + state;
}

std::string formatNotCounted(const json::object &status)
{
    const auto *missing = status.if_contains("not_counted");
    if (missing == nullptr) {
        return {};
    }
    const json::array &ids = missing->as_array();
    std::string text = "not counted: " + std::to_string(ids.size()) + " of "
        + std::to_string(status.at("asked_instances").as_int64()) + " instances";
    for (const json::value &id : ids) {
        text += (&id == &ids.front() ? ": " : ", ") + std::string(id.as_string());
    }
    const std::int64_t seconds = status.at("counted_ms_ago").as_int64() / 1000;
    return text + "; counted " + std::to_string(seconds) + " s ago\n";
}

const char *outcomeName(ChangeReply::Outcome outcome)
{
    switch (outcome) {
    case ChangeReply::Outcome::Accepted:
        return "accepted";
    case ChangeReply::Outcome::Conflict:
        return "conflict";
    case ChangeReply::Outcome::Failed:
        return "failed";
    case ChangeReply::Outcome::Unknown:
        return "unknown";
    case ChangeReply::Outcome::ActiveNotRecorded:
        return "in_force_not_recorded";
    }
    return "unknown";
}

std::string replyText(const ChangeReply &reply)
{
    switch (reply.outcome) {
    case ChangeReply::Outcome::Accepted:
        return "accepted as version " + std::to_string(reply.version);
    case ChangeReply::Outcome::Conflict:
        return "conflict: version " + std::to_string(reply.version) + " by '" + reply.operatorName
            + "' came first; compare with 'diff' and apply again";
    case ChangeReply::Outcome::Failed:
        return "failed: " + reply.message;
    case ChangeReply::Outcome::ActiveNotRecorded:
        return "in force, not yet recorded (write id " + reply.writeId + "): " + reply.message;
    case ChangeReply::Outcome::Unknown:
        break;
    }
    return "outcome unknown (write id " + reply.writeId + "): " + reply.message;
}

} // namespace

RolloutState readRolloutState(const json::value &status, std::uint64_t version)
{
    RolloutState report;
    for (const json::value &instance : status.at("instances").as_array()) {
        if (stringField(instance, "state") == "dead") {
            continue;
        }
        ++report.live;
        if (instance.at("version").as_int64() < static_cast<std::int64_t>(version)) {
            report.behind.push_back(stringField(instance, "id"));
        }
    }
    return report;
}

std::string formatRolloutState(const RolloutState &report, bool complete,
                               std::chrono::milliseconds elapsed, bool asJson)
{
    if (asJson) {
        json::array behind;
        for (const std::string &id : report.behind) {
            behind.emplace_back(id);
        }
        return json::serialize(json::value{{"in_force", complete},
                                           {"live", report.live},
                                           {"behind", behind},
                                           {"elapsed_ms", elapsed.count()},
                                           {"error", report.problem}})
            + "\n";
    }
    const std::string after = " after " + std::to_string(elapsed.count()) + " ms";
    if (complete) {
        return "in force at all " + std::to_string(report.live) + " live instances" + after + "\n";
    }
    std::string text = "accepted, but not shown to be in force everywhere" + after;
    for (const std::string &id : report.behind) {
        text += (&id == &report.behind.front() ? "; behind: " : ", ") + id;
    }
    if (report.live == 0) {
        text += "; the status lists no live instance";
    }
    return text + (report.problem.empty() ? "" : "; " + report.problem)
        + "; check again with 'status'\n";
}

std::string formatStatus(const json::value &status)
{
    std::ostringstream text;
    text << "version " << status.at("version").as_int64() << "\n\ninstances\n";
    for (const json::value &item : status.at("instances").as_array()) {
        text << "  " << stringField(item, "id") << "  " << stringField(item, "region") << "/"
             << stringField(item, "zone") << "  " << stringField(item, "state") << "  version "
             << item.at("version").as_int64() << "\n";
    }
    text << "\nupstreams\n";
    for (const json::value &item : status.at("upstreams").as_array()) {
        text << "  " << stringField(item, "id") << "  " << stringField(item, "service") << "  "
             << stringField(item, "region") << "/" << stringField(item, "zone") << "  "
             << (item.at("leaving").as_bool() ? "leaving" : "in use") << "\n";
    }
    text << "\nclasses, calls of the last minute\n";
    for (const json::value &item : status.at("classes").as_array()) {
        text << "  " << stringField(item, "name") << "  "
             << item.at("share").to_number<double>() * 100 << "% within "
             << item.at("answer_within_ms").as_int64() << " ms"
             << formatLastMinute(item.as_object()) << "\n";
    }
    return text.str() + formatNotCounted(status.as_object());
}

std::string formatReply(const ChangeReply &reply, bool asJson)
{
    if (!asJson) {
        return replyText(reply) + "\n";
    }
    return json::serialize(json::value{{"outcome", outcomeName(reply.outcome)},
                                       {"version", reply.version},
                                       {"operator", reply.operatorName},
                                       {"error", reply.message},
                                       {"write_id", reply.writeId}})
        + "\n";
}

} // namespace bronzeshed
