#include "requests/requestidentity.h"

#include <algorithm>
#include <array>
#include <bit>
#include <charconv>
#include <cstddef>
#include <cstdio>

namespace bronzeshed {

namespace {

constexpr std::size_t IncarnationDigits = 16;
/** Covers 19,000 years of periods and is far below the limit of std::uint64_t. */
constexpr std::size_t MaxPeriodDigits = 10;
constexpr std::size_t MinNonceDigits = 16;
constexpr std::size_t MaxNonceDigits = 64;

bool isHexDigit(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
}

bool isHex(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), isHexDigit);
}

std::optional<std::uint64_t> parsePeriod(std::string_view text)
{
    const bool leadingZero = text.size() > 1 && text.front() == '0';
    if (text.empty() || text.size() > MaxPeriodDigits || leadingZero) {
        return std::nullopt;
    }
    std::uint64_t period = 0;
    const char *end = text.data() + text.size();
    const auto [last, error] = std::from_chars(text.data(), end, period);
    if (error != std::errc() || last != end) {
        return std::nullopt;
    }
    return period;
}

std::string toLower(std::string_view digits)
{
    std::string lower(digits);
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](char c) { return c >= 'A' && c <= 'F' ? static_cast<char>(c + 32) : c; });
    return lower;
}

/**
 * Mixes one word into a digest. The multiplications spread low bits to high positions; the rotation
 * moves high bits back to low positions.
 */
std::uint64_t mix(std::uint64_t digest, std::uint64_t word)
{
    constexpr std::uint64_t Multiplier = 0x9e3779b97f4a7c15U;
    constexpr int Rotation = 29;
    return std::rotl((digest ^ word) * Multiplier, Rotation) * Multiplier;
}

/** Reads up to eight bytes as a little-endian number. */
std::uint64_t readWord(std::string_view bytes)
{
    std::uint64_t word = 0;
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        word |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[i])) << (8 * i);
    }
    return word;
}

} // namespace

RequestId RequestIdentity::toId() const
{
    return RequestId(formatIncarnation(this->incarnation) + "-" + std::to_string(this->period) + "-"
                     + this->nonce);
}

std::optional<RequestIdentity> parseRequestIdentity(const RequestId &id)
{
    const std::string_view text = id.value();
    const auto first = text.find('-');
    const auto second = first == std::string_view::npos ? first : text.find('-', first + 1);
    if (second == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view incarnation = text.substr(0, first);
    const std::string_view nonce = text.substr(second + 1);
    const auto period = parsePeriod(text.substr(first + 1, second - first - 1));
    const bool nonceLengthValid = nonce.size() >= MinNonceDigits && nonce.size() <= MaxNonceDigits;
    if (!period || incarnation.size() != IncarnationDigits || !nonceLengthValid
        || !isHex(incarnation) || !isHex(nonce)) {
        return std::nullopt;
    }
    std::uint64_t number = 0;
    std::from_chars(incarnation.data(), incarnation.data() + incarnation.size(), number, 16);
    return RequestIdentity{Incarnation(number), *period, toLower(nonce)};
}

std::string formatIncarnation(Incarnation incarnation)
{
    std::array<char, IncarnationDigits + 1> text{};
    std::snprintf(text.data(), text.size(), "%016llx",
                  static_cast<unsigned long long>(incarnation.value()));
    return text.data();
}

std::uint64_t digestOf(std::initializer_list<std::string_view> parts)
{
    constexpr std::size_t WordBytes = 8;
    std::uint64_t digest = 0;
    for (std::string_view part : parts) {
        // Including the length gives ("ab", "c") and ("a", "bc") different digests.
        digest = mix(digest, part.size() + 1);
        while (!part.empty()) {
            const std::string_view word = part.substr(0, WordBytes);
            digest = mix(digest, readWord(word));
            part.remove_prefix(word.size());
        }
    }
    return digest;
}

} // namespace bronzeshed
