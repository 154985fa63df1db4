#ifndef BRONZESHED_CTL_HISTORYREPORT_H
#define BRONZESHED_CTL_HISTORYREPORT_H

#include "ctl/agentclient.h"

#include <boost/json/array.hpp>
#include <string>

namespace bronzeshed {

/** The newest audit entries, including archived ones. */
struct HistoryReport
{
    boost::json::array entries; ///< newest first
    std::int64_t version = 0; ///< configuration version at the queried agent
    bool hasOlder = false; ///< whether older entries exceed the limit
    std::string problem; ///< why archived entries could not be read
};

/**
 * Reads the newest @p limit audit entries: first those in the configuration record, then the
 * archive pages from the newest to the oldest. Reading stops at a page that cannot be read, because
 * a gap in the report could hide a change.
 * @throws UnavailableError if no agent returns the newest entries
 */
HistoryReport readHistory(AgentClient &client, std::size_t limit);

std::string formatHistory(const HistoryReport &report, bool asJson);

} // namespace bronzeshed

#endif
