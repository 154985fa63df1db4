#ifndef BRONZESHED_BASE_PARSENUMBER_H
#define BRONZESHED_BASE_PARSENUMBER_H

#include <cstdint>
#include <optional>
#include <string_view>

namespace bronzeshed {

/**
 * Parses an unsigned decimal number.
 * @return nullopt if @p text contains anything but digits or the number exceeds 64 bits
 */
std::optional<std::uint64_t> parseNumber(std::string_view text);

} // namespace bronzeshed

#endif
