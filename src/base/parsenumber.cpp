#include "base/parsenumber.h"

#include <charconv>

namespace bronzeshed {

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const char *end = text.data() + text.size();
    const auto [last, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc() || last != end || text.empty()) {
        return std::nullopt;
    }
    return number;
}

} // namespace bronzeshed
