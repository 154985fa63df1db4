#include "entry/lookup.h"

#include "membership/domainorder.h"
#include "requests/periodclock.h"
#include "requests/requestidentity.h"

#include <algorithm>
#include <boost/json.hpp>

namespace bronzeshed {

namespace {

constexpr std::int64_t PeriodMs = std::chrono::milliseconds(PeriodClock::Length).count();

} // namespace

std::string makeTicket(const Member &member, std::int64_t nowMs)
{
    const auto startMs
        = static_cast<std::int64_t>(member.incarnation.value() >> IncarnationRandomBits);
    const std::int64_t period = std::max<std::int64_t>(0, (nowMs - startMs) / PeriodMs);
    return formatIncarnation(member.incarnation) + "-" + std::to_string(period);
}

HttpResponse makeLookupResponse(const ClassName &className, const ServiceName &service,
                                const RegionName &region, const ControlState &state,
                                std::int64_t nowMs)
{
    boost::json::array entries;
    for (const Member &member : domainEntries(service, region, state.members)) {
        if (entries.size() == MaxLookupEntries) {
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
