#include "entry/callparser.h"

#include "base/parsenumber.h"

#include <cstdint>

namespace bronzeshed {

namespace {

constexpr std::uint64_t MaxDepth = 10;
constexpr std::uint64_t MaxAttempt = 1000;
constexpr std::uint64_t MaxDeadlineMs = 600000;
constexpr std::size_t MaxNameBytes = 128;

/**
 * Reads an optional numeric header. Sets the reason and detail of @p parsed if the header is
 * malformed or above @p limit.
 */
std::optional<std::uint64_t> readNumber(const HttpRequest &request, const char *name,
                                        std::uint64_t limit, Reason tooLarge, ParsedCall &parsed)
{
    const auto text = request.headers.find(name);
    if (!text) {
        return std::nullopt;
    }
    const auto number = parseNumber(*text);
    if (!number || *number > limit) {
        parsed.reason = number ? tooLarge : Reason::MalformedHeader;
        parsed.detail
            = std::string(name) + " must be a whole number from 0 to " + std::to_string(limit);
    }
    return number;
}

} // namespace

ParsedCall parseCallHeaders(const HttpRequest &request)
{
    ParsedCall parsed;
    CallHeaders &headers = parsed.headers;
    headers.className = ClassName(request.headers.find("Bronzeshed-Class").value_or(""));
    headers.caller = CallerName(request.headers.find("Bronzeshed-Caller").value_or(""));
    headers.requestId = RequestId(request.headers.find("Bronzeshed-Request-Id").value_or(""));
    if (headers.className.isEmpty()) {
        parsed.reason = Reason::MalformedHeader;
        parsed.detail = "Bronzeshed-Class is missing";
        return parsed;
    }
    if (headers.className.value().size() > MaxNameBytes
        || headers.caller.value().size() > MaxNameBytes) {
        parsed.reason = Reason::MalformedHeader;
        parsed.detail = "Bronzeshed-Class and Bronzeshed-Caller may have at most "
            + std::to_string(MaxNameBytes) + " characters";
        return parsed;
    }
    const auto deadline = readNumber(request, "Bronzeshed-Deadline-Ms", MaxDeadlineMs,
                                     Reason::MalformedHeader, parsed);
    if (deadline) {
        headers.timeLeft = std::chrono::milliseconds(*deadline);
    }
    const auto depth
        = readNumber(request, "Bronzeshed-Depth", MaxDepth, Reason::DepthExceeded, parsed);
    headers.depth = static_cast<unsigned>(depth.value_or(0));
    const auto attempt
        = readNumber(request, "Bronzeshed-Attempt", MaxAttempt, Reason::MalformedHeader, parsed);
    headers.attempt = static_cast<unsigned>(attempt.value_or(0));
    return parsed;
}

} // namespace bronzeshed
