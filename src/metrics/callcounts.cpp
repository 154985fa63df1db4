#include "metrics/callcounts.h"

#include "base/error.h"

#include <boost/json.hpp>

namespace bronzeshed {

namespace json = boost::json;

CallCounts &CallCounts::operator+=(const CallCounts &other)
{
    this->withinTarget += other.withinTarget;
    this->late += other.late;
    this->notRun += other.notRun;
    this->unknown += other.unknown;
    return *this;
}

std::string serializeCallCounts(const CallCountsByClass &counts)
{
    json::object root;
    for (const auto &[name, count] : counts) {
        root[name.value()]
            = json::array{count.withinTarget, count.late, count.notRun, count.unknown};
    }
    return json::serialize(root);
}

CallCountsByClass parseCallCounts(std::string_view text)
{
    try {
        CallCountsByClass counts;
        const json::value root = json::parse(json::string_view(text.data(), text.size()));
        for (const auto &[name, item] : root.as_object()) {
            counts[ClassName(name)]
                = {item.at(0).to_number<std::uint64_t>(), item.at(1).to_number<std::uint64_t>(),
                   item.at(2).to_number<std::uint64_t>(), item.at(3).to_number<std::uint64_t>()};
        }
        return counts;
    } catch (const std::exception &error) {
        throw Error("malformed call counts: " + std::string(error.what()),
                    "compare the versions of the programs on both instances");
    }
}

} // namespace bronzeshed
