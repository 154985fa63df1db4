#ifndef BRONZESHED_AGENT_OPERATORREPLIES_H
#define BRONZESHED_AGENT_OPERATORREPLIES_H

#include "agent/configkeeperresult.h"
#include "agent/fleetcalls.h"
#include "config/configrecord.h"
#include "http/httpmessage.h"
#include "membership/controlstate.h"

namespace bronzeshed {

/** Body {"outcome", ...}; each outcome has its own HTTP status. */
HttpResponse changeResponse(const ChangeResult &result);

/** Body {"outcome":"failed","error"}, where the error is @p problem followed by @p remedy. */
HttpResponse failureResponse(unsigned status, const std::string &problem,
                             const std::string &remedy);

/** Body {"version","declaration"}. */
HttpResponse declarationResponse(const ConfigRecord &record);

/**
 * Body {"version","instances","upstreams","classes"}. If @p calls is set, each class has
 * "last_minute", and "not_counted" lists the instances whose calls are missing.
 */
HttpResponse statusResponse(const ConfigRecord &record, const std::vector<Member> &members,
                            const std::vector<UpstreamInfo> &upstreams,
                            const FleetCalls *calls = nullptr);

/** Body {"version","archived_pages","entries"} with the oldest entry first. */
HttpResponse historyResponse(const ConfigRecord &record);

} // namespace bronzeshed

#endif
