#include "gateway/worktimerecord.h"

#include "base/error.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>

namespace bronzeshed {

namespace {

/** Relative change of a work time below which an admission decision rarely differs. */
constexpr double NotableChange = 0.25;
/** Longer work times are not plausible and would overflow the sums. */
constexpr std::int64_t MaxWorkTimeUs = 3'600'000'000;

} // namespace

std::string encodeWorkTimes(const WorkTimes &times)
{
    boost::json::object root;
    for (const auto &[name, time] : times) {
        root[name.value()] = std::chrono::duration_cast<std::chrono::microseconds>(time).count();
    }
    return boost::json::serialize(root);
}

WorkTimes decodeWorkTimes(std::string_view value)
{
    boost::system::error_code error;
    const auto root = boost::json::parse({value.data(), value.size()}, error);
    if (error || !root.is_object()) {
        throw ProtocolError("a record of work times is not a JSON object",
                            "check which program writes this key");
    }
    WorkTimes times;
    for (const auto &entry : root.get_object()) {
        const boost::json::value &time = entry.value();
        if (!time.is_int64() || time.get_int64() <= 0 || time.get_int64() > MaxWorkTimeUs) {
            throw ProtocolError("a work time is not a plausible number of microseconds",
                                "check which program writes this key");
        }
        times.emplace(ClassName(std::string(entry.key())),
                      std::chrono::microseconds(time.get_int64()));
    }
    return times;
}

WorkTimes meanWorkTimes(const std::vector<WorkTimes> &records)
{
    WorkTimes sums;
    std::map<ClassName, int> counts;
    for (const WorkTimes &record : records) {
        for (const auto &[name, time] : record) {
            sums[name] += time;
            ++counts[name];
        }
    }
    for (auto &[name, time] : sums) {
        time /= counts[name];
    }
    return sums;
}

bool differsNotably(const WorkTimes &measured, const WorkTimes &published)
{
    return std::any_of(measured.begin(), measured.end(), [&](const auto &entry) {
        const auto found = published.find(entry.first);
        if (found == published.end()) {
            return true;
        }
        const auto before = static_cast<double>(found->second.count());
        const auto now = static_cast<double>(entry.second.count());
        return std::abs(now - before) > before * NotableChange;
    });
}

} // namespace bronzeshed
