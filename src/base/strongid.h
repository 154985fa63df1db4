#ifndef BRONZESHED_BASE_STRONGID_H
#define BRONZESHED_BASE_STRONGID_H

#include <compare>
#include <cstddef>
#include <functional>
#include <string>
#include <utility>

namespace bronzeshed {

/**
 * Text identifier with a distinct type for each kind, so that the compiler rejects mixed-up ids.
 * @tparam Tag an empty type that identifies the kind
 */
template<typename Tag>
class StrongId
{
public:
    StrongId() = default;
    explicit StrongId(std::string text)
        : text(std::move(text))
    {
    }

    const std::string &value() const { return this->text; }
    bool isEmpty() const { return this->text.empty(); }

    auto operator<=>(const StrongId &) const = default;

private:
    std::string text;
};

using ServiceName = StrongId<struct ServiceNameTag>;
using ClassName = StrongId<struct ClassNameTag>;
using CallerName = StrongId<struct CallerNameTag>;
using UpstreamId = StrongId<struct UpstreamIdTag>;
using InstanceId = StrongId<struct InstanceIdTag>;
using RequestId = StrongId<struct RequestIdTag>;
using RegionName = StrongId<struct RegionNameTag>;
using ZoneName = StrongId<struct ZoneNameTag>;

} // namespace bronzeshed

template<typename Tag>
struct std::hash<bronzeshed::StrongId<Tag>>
{
    std::size_t operator()(const bronzeshed::StrongId<Tag> &id) const
    {
        return std::hash<std::string>{}(id.value());
    }
};

#endif
