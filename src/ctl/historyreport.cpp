#include "ctl/historyreport.h"

#include "base/error.h"

#include <array>
#include <boost/json.hpp>
#include <ctime>
#include <set>
#include <sstream>

namespace bronzeshed {

namespace json = boost::json;

namespace {

std::string formatTime(std::int64_t timeMs)
{
    const auto seconds = static_cast<std::time_t>(timeMs / 1000);
    std::tm parts{};
    ::gmtime_r(&seconds, &parts);
    std::array<char, 32> buffer{};
    const std::size_t size
        = std::strftime(buffer.data(), buffer.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return {buffer.data(), size};
}

std::string stringField(const json::value &object, const char *key)
{
    return std::string(object.at(key).as_string());
}

/**
 * Adds the entries of a response, which are sorted oldest first, up to the limit. Duplicates are
 * skipped: if two agents archive at the same time, a page may remain whose entries are also on the
 * next page.
 */
void addNewestFirst(HistoryReport &report, std::set<std::string> &seen, const json::array &entries,
                    std::size_t limit)
{
    for (auto item = entries.rbegin(); item != entries.rend(); ++item) {
        if (!seen.insert(stringField(*item, "write_id")).second) {
            continue;
        }
        if (report.entries.size() == limit) {
            report.hasOlder = true;
            return;
        }
        report.entries.push_back(*item);
    }
}

} // namespace

HistoryReport readHistory(AgentClient &client, std::size_t limit)
{
    const json::value newest = client.read("/v1/history");
    HistoryReport report;
    report.version = newest.at("version").as_int64();
    std::set<std::string> seen;
    addNewestFirst(report, seen, newest.at("entries").as_array(), limit);
    std::int64_t page = newest.at("archived_pages").as_int64();
    while (page > 0 && report.entries.size() < limit) {
        --page;
        try {
            const json::value older = client.read("/v1/history?page=" + std::to_string(page));
            addNewestFirst(report, seen, older.at("entries").as_array(), limit);
        } catch (const UnavailableError &error) {
            report.problem = error.what();
            return report;
        }
    }
    report.hasOlder = report.hasOlder || page > 0;
    return report;
}

std::string formatHistory(const HistoryReport &report, bool asJson)
{
    if (asJson) {
        return json::serialize(json::value{{"version", report.version},
                                           {"entries", report.entries},
                                           {"has_older", report.hasOlder},
                                           {"error", report.problem}})
            + "\n";
    }
    std::ostringstream text;
    for (const json::value &item : report.entries) {
        text << formatTime(item.at("time_ms").as_int64()) << "  version "
             << item.at("from").as_int64() << " -> " << item.at("to").as_int64() << "  "
             << stringField(item, "operator") << "  " << stringField(item, "action")
             << "  write id " << stringField(item, "write_id") << "\n";
    }
    if (!report.problem.empty()) {
        text << "older entries could not be read: " << report.problem << "\n";
    } else if (report.hasOlder) {
        text << "there are older entries; raise --limit to see them\n";
    }
    return text.str();
}

} // namespace bronzeshed
