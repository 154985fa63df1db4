#ifndef BRONZESHED_METRICS_CALLCOUNTS_H
#define BRONZESHED_METRICS_CALLCOUNTS_H

#include "base/strongid.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace bronzeshed {

/** Calls of one class by how they ended. Invalid requests are not counted. */
struct CallCounts
{
    std::uint64_t withinTarget = 0; ///< answered within the target
    std::uint64_t late = 0; ///< answered after the target
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;

    std::uint64_t calls() const
    {
        return this->withinTarget + this->late + this->notRun + this->unknown;
    }
    CallCounts &operator+=(const CallCounts &other);
    bool operator==(const CallCounts &) const = default;
};

/** Path of an entry's caller port under which agents read the counts of the last minute. */
constexpr std::string_view CallCountsPath = "/bronzeshed/calls";

using CallCountsByClass = std::map<ClassName, CallCounts>;

/**
 * Writes the counts as JSON, for each class its name and an array of the counts in the order of
 * CallCounts. Names of counts would double the traffic between instances.
 */
std::string serializeCallCounts(const CallCountsByClass &counts);

/** @throws Error if the text is not of that form */
CallCountsByClass parseCallCounts(std::string_view text);

} // namespace bronzeshed

#endif
