#ifndef BRONZESHED_METRICS_CALLCOUNTS_H
#define BRONZESHED_METRICS_CALLCOUNTS_H

#include "base/strongid.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace bronzeshed {

/** Numbers of calls of one class by outcome. Invalid requests are not counted. */
struct CallCounts
{
    std::uint64_t withinTarget = 0; ///< answered within the target
    std::uint64_t late = 0; ///< answered after the target
    std::uint64_t notRun = 0; ///< not executed by an upstream
    std::uint64_t unknown = 0; ///< may have been executed

    std::uint64_t calls() const
    {
        return this->withinTarget + this->late + this->notRun + this->unknown;
    }
    CallCounts &operator+=(const CallCounts &other);
    bool operator==(const CallCounts &) const = default;
};

/** Path on the caller port of an entry where agents read the call counts of the last minute. */
constexpr std::string_view CallCountsPath = "/bronzeshed/calls";

using CallCountsByClass = std::map<ClassName, CallCounts>;

/**
 * Serializes the counts as a JSON object that maps each class to an array of its counts, in the
 * order of CallCounts. Keys for the counts would double the traffic between instances.
 */
std::string serializeCallCounts(const CallCountsByClass &counts);

/**
 * Parses the output of serializeCallCounts().
 * @throws Error if the text is malformed
 */
CallCountsByClass parseCallCounts(std::string_view text);

} // namespace bronzeshed

#endif
