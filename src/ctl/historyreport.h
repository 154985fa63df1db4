#ifndef BRONZESHED_CTL_HISTORYREPORT_H
#define BRONZESHED_CTL_HISTORYREPORT_H

#include "ctl/agentclient.h"

#include <boost/json/array.hpp>
#include <string>

namespace bronzeshed {

/** The newest audit entries, archived ones included. */
struct HistoryReport
{
    boost::json::array entries; ///< newest first
    std::int64_t version = 0; ///< of the configuration at the asked agent
    bool hasOlder = false; ///< whether the limit left entries out
    std::string problem; ///< why archived entries could not be read
};

/**
 * Reads the newest @p limit entries: those of the record, then page after page from the newest one.
 * A page that cannot be read ends the report, as a gap could hide a change.
 * @throws UnavailableError if no agent answers
 */
HistoryReport readHistory(AgentClient &client, std::size_t limit);

std::string formatHistory(const HistoryReport &report, bool asJson);

} // namespace bronzeshed

#endif
