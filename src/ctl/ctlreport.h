#ifndef BRONZESHED_CTL_CTLREPORT_H
#define BRONZESHED_CTL_CTLREPORT_H

#include "ctl/agentclient.h"

#include <boost/json/value.hpp>
#include <chrono>
#include <string>
#include <vector>

namespace bronzeshed {

/** State of the rollout of a version to the live instances. */
struct RolloutState
{
    std::size_t live = 0; ///< instances that are not dead
    std::vector<std::string> behind; ///< ids of live instances with a lower active version
    std::string problem; ///< why the status could not be read
};

/** Derives the rollout state of @p version from a response to GET /v1/status. */
RolloutState readRolloutState(const boost::json::value &status, std::uint64_t version);

std::string formatRolloutState(const RolloutState &report, bool complete,
                               std::chrono::milliseconds elapsed, bool asJson);

/** Formats a response to GET /v1/status as text. */
std::string formatStatus(const boost::json::value &status);

std::string formatReply(const ChangeReply &reply, bool asJson);

} // namespace bronzeshed

#endif
