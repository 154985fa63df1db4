#ifndef BRONZESHED_BASE_PARSENUMBER_H
#define BRONZESHED_BASE_PARSENUMBER_H

#include <cstdint>
#include <optional>
#include <string_view>

namespace bronzeshed {

/** Reads a whole number in decimal digits; nothing if @p text is anything else or too large. */
std::optional<std::uint64_t> parseNumber(std::string_view text);

} // namespace bronzeshed

#endif
