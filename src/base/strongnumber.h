#ifndef BRONZESHED_BASE_STRONGNUMBER_H
#define BRONZESHED_BASE_STRONGNUMBER_H

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace bronzeshed {

/**
 * Unsigned number with a distinct type for each kind, for sequence numbers, versions and keys.
 * @tparam Tag an empty type that identifies the kind
 */
template<typename Tag>
class StrongNumber
{
public:
    constexpr StrongNumber() = default;
    constexpr explicit StrongNumber(std::uint64_t number)
        : number(number)
    {
    }

    constexpr std::uint64_t value() const { return this->number; }
    constexpr StrongNumber next() const { return StrongNumber(this->number + 1); }

    constexpr auto operator<=>(const StrongNumber &) const = default;

private:
    std::uint64_t number = 0;
};

using ConfigVersion = StrongNumber<struct ConfigVersionTag>;
using Incarnation = StrongNumber<struct IncarnationTag>;
/** Random low bits of an incarnation. The high bits hold the start time in milliseconds. */
constexpr unsigned IncarnationRandomBits = 22;
using AttemptId = StrongNumber<struct AttemptIdTag>;
using CallId = StrongNumber<struct CallIdTag>;
using ByteCount = StrongNumber<struct ByteCountTag>;

} // namespace bronzeshed

template<typename Tag>
struct std::hash<bronzeshed::StrongNumber<Tag>>
{
    std::size_t operator()(const bronzeshed::StrongNumber<Tag> &number) const
    {
        return std::hash<std::uint64_t>{}(number.value());
    }
};

#endif
