#ifndef BRONZESHED_CTL_CTLREPORT_H
#define BRONZESHED_CTL_CTLREPORT_H

#include "ctl/agentclient.h"

#include <boost/json/value.hpp>
#include <chrono>
#include <string>
#include <vector>

namespace bronzeshed {

/** Which instances do not have a version in force yet. */
struct InForceReport
{
    std::size_t live = 0; ///< instances that are not dead
    std::vector<std::string> behind; ///< ids of live instances with a lower version
    std::string problem; ///< why the status could not be read
};

/** Reads an answer of GET /v1/status. */
InForceReport checkInForce(const boost::json::value &status, std::uint64_t version);

std::string formatInForce(const InForceReport &report, bool complete,
                          std::chrono::milliseconds elapsed, bool asJson);

/** Answer of GET /v1/status as text. */
std::string formatStatus(const boost::json::value &status);

std::string formatReply(const ChangeReply &reply, bool asJson);

} // namespace bronzeshed

#endif
