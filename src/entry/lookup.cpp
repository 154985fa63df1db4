#include "entry/lookup.h"

#include "membership/domainorder.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <cstdio>

namespace bronzeshed {

namespace {

constexpr unsigned RandomBits = 22;
constexpr std::int64_t PeriodMs = 60000;

} // namespace

std::string incarnationText(Incarnation incarnation)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx",
                  static_cast<unsigned long long>(incarnation.value()));
    return text.data();
}

std::string makeTicket(const Member &member, std::int64_t nowMs)
{
    const auto startMs = static_cast<std::int64_t>(member.incarnation.value() >> RandomBits);
    const std::int64_t period = std::max<std::int64_t>(0, (nowMs - startMs) / PeriodMs);
    return incarnationText(member.incarnation) + "-" + std::to_string(period);
}

HttpResponse makeLookupResponse(const ClassName &className, const ServiceName &service,
                                const RegionName &region, const ControlState &state,
                                std::int64_t nowMs)
{
    boost::json::array entries;
    for (const Member &member : domainEntries(service, region, state.members)) {
        if (entries.size() == LookupEntries) {
            break;
        }
        entries.push_back({{"address", member.callerEndpoint.toString()},
                           {"region", member.region.value()},
                           {"zone", member.zone.value()},
                           {"ticket", makeTicket(member, nowMs)}});
    }
    const boost::json::object root{
        {"class", className.value()},
        {"valid_ms", LookupValidity.count()},
        {"config_version", static_cast<std::int64_t>(state.configVersion.value())},
        {"entries", std::move(entries)}};
    return makeJsonResponse(200, boost::json::serialize(root));
}

} // namespace bronzeshed
