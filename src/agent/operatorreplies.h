#ifndef BRONZESHED_AGENT_OPERATORREPLIES_H
#define BRONZESHED_AGENT_OPERATORREPLIES_H

#include "agent/configkeeperresult.h"
#include "agent/fleetcalls.h"
#include "config/configrecord.h"
#include "http/httpmessage.h"
#include "membership/controlstate.h"

namespace bronzeshed {

/** {"outcome", ...}; the status tells the outcomes apart as well. */
HttpResponse changeResponse(const ChangeResult &result);

/** {"outcome":"failed","error"}. @p remedy follows the problem in the text. */
HttpResponse failureResponse(unsigned status, const std::string &problem,
                             const std::string &remedy);

/** {"version","declaration"}. */
HttpResponse declarationResponse(const ConfigRecord &record);

/**
 * {"version","instances","upstreams","classes"}. With @p calls, each class has "last_minute" and
 * "not_counted" names the instances whose calls are missing.
 */
HttpResponse statusResponse(const ConfigRecord &record, const std::vector<Member> &members,
                            const std::vector<UpstreamInfo> &upstreams,
                            const FleetCalls *calls = nullptr);

/** {"version","archived_pages","entries"}, oldest first. */
HttpResponse historyResponse(const ConfigRecord &record);

} // namespace bronzeshed

#endif
