#ifndef BRONZESHED_GATEWAY_WORKTIMERECORD_H
#define BRONZESHED_GATEWAY_WORKTIMERECORD_H

#include "routing/worktimetable.h"

#include <string>
#include <string_view>
#include <vector>

namespace bronzeshed {

/** Prefix of the keys under which the relay of each zone publishes measured work times. */
inline constexpr std::string_view WorkTimePrefix = "bronzeshed/work-times/";

std::string encodeWorkTimes(const WorkTimes &times);
/** @throws ProtocolError if @p value is not a record of work times */
WorkTimes decodeWorkTimes(std::string_view value);

/** Mean of each class over all records that contain it. */
WorkTimes meanWorkTimes(const std::vector<WorkTimes> &records);

/** Whether publishing @p measured in place of @p published is worth a call to the store. */
bool differsNotably(const WorkTimes &measured, const WorkTimes &published);

} // namespace bronzeshed

#endif
