#include "standins/echoanswer.h"

#include <cstdint>

namespace bronzeshed {

namespace {

/** 64-bit FNV-1a. */
std::uint64_t checksumOf(const std::string &text)
{
    constexpr std::uint64_t OffsetBasis = 14695981039346656037U;
    constexpr std::uint64_t Prime = 1099511628211U;
    std::uint64_t hash = OffsetBasis;
    for (const char c : text) {
        hash = (hash ^ static_cast<unsigned char>(c)) * Prime;
    }
    return hash;
}

/** The lines after the identity. */
std::string describe(const HttpRequest &request)
{
    return "method=" + request.method + "\ntarget=" + request.target
        + "\nbytes=" + std::to_string(request.body.size())
        + "\nchecksum=" + std::to_string(checksumOf(request.body)) + "\nend\n";
}

} // namespace

std::string makeEchoAnswer(const HttpRequest &request)
{
    return "id=" + request.headers.find("Bronzeshed-Request-Id").value_or("") + "\n"
        + describe(request);
}

bool isEchoAnswer(const std::string &answer, const HttpRequest &request)
{
    if (request.headers.find("Bronzeshed-Request-Id")) {
        return answer == makeEchoAnswer(request);
    }
    const auto firstLine = answer.find('\n');
    return answer.starts_with("id=") && firstLine != std::string::npos
        && answer.substr(firstLine + 1) == describe(request);
}

} // namespace bronzeshed
