#ifndef BRONZESHED_AGENT_OPERATORREPLIES_H
#define BRONZESHED_AGENT_OPERATORREPLIES_H

#include "agent/configkeeperresult.h"
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

/** {"version","instances","upstreams","classes"}. */
HttpResponse statusResponse(const ConfigRecord &record, const std::vector<Member> &members,
                            const std::vector<UpstreamInfo> &upstreams);

/** {"version","archived_pages","entries"}, oldest first. */
HttpResponse historyResponse(const ConfigRecord &record);

} // namespace bronzeshed

#endif
