#include "replay/trace.h"

#include "base/parsenumber.h"
#include <algorithm>
#include <array>
#include <cctype>
#include <cstdint>

namespace bronzeshed {

namespace {

constexpr std::size_t FieldCount = 7;
constexpr std::uint64_t MaxTimeUs = 86400000000;
constexpr std::uint64_t MaxBodyBytes = 1024 * 1024;
const std::string Format = "write 'time_us class region zone method path body_bytes'";

[[noreturn]] void reject(std::size_t line, const std::string &problem, const std::string &remedy)
{
    throw TraceError("line " + std::to_string(line) + ": " + problem, remedy);
}

std::vector<std::string> split(const std::string &text)
{
    std::vector<std::string> fields;
    std::size_t start = 0;
    while (true) {
        const std::size_t end = text.find(' ', start);
        fields.push_back(text.substr(start, end - start));
        if (end == std::string::npos) {
            return fields;
        }
        start = end + 1;
    }
}

std::uint64_t readNumber(const std::string &text, std::uint64_t limit, std::size_t line,
                         const std::string &what)
{
    const auto number = parseNumber(text);
    if (!number || *number > limit) {
        reject(line, what + " '" + text + "' is not a whole number in the permitted range",
               "give a whole number from 0 to " + std::to_string(limit));
    }
    return *number;
}

void checkName(const std::string &name, std::size_t line, const std::string &what)
{
    const auto allowed = [](unsigned char c) { return std::isalnum(c) != 0 || c == '-'; };
    if (name.empty() || !std::all_of(name.begin(), name.end(), allowed)) {
        reject(line, what + " '" + name + "' is malformed", "use letters, digits and '-'");
    }
}

TraceCall parseCall(const std::string &text, std::size_t line)
{
    const std::vector<std::string> fields = split(text);
    if (fields.size() != FieldCount) {
        reject(line, "there are " + std::to_string(fields.size()) + " fields instead of 7", Format);
    }
    checkName(fields[1], line, "class");
    checkName(fields[2], line, "region");
    checkName(fields[3], line, "zone");
    constexpr std::array Methods{"GET", "POST", "PUT", "DELETE"};
    if (std::find(Methods.begin(), Methods.end(), fields[4]) == Methods.end()) {
        reject(line, "method '" + fields[4] + "' is unknown", "use GET, POST, PUT or DELETE");
    }
    const auto printable = [](unsigned char c) { return std::isgraph(c) != 0; };
    const bool validPath = fields[5].starts_with('/') && fields[5].find('?') == std::string::npos
        && std::all_of(fields[5].begin(), fields[5].end(), printable);
    if (!validPath) {
        reject(line, "path '" + fields[5] + "' is malformed", "start it with '/', without a query");
    }
    TraceCall call;
    call.time = std::chrono::microseconds(readNumber(fields[0], MaxTimeUs, line, "time"));
    call.className = ClassName(fields[1]);
    call.region = RegionName(fields[2]);
    call.zone = ZoneName(fields[3]);
    call.method = fields[4];
    call.path = fields[5];
    call.bodyBytes = readNumber(fields[6], MaxBodyBytes, line, "body size");
    return call;
}

} // namespace

std::vector<TraceCall> parseTrace(std::istream &input)
{
    std::vector<TraceCall> calls;
    std::string text;
    for (std::size_t line = 1; std::getline(input, text); ++line) {
        TraceCall call = parseCall(text, line);
        if (!calls.empty() && call.time < calls.back().time) {
            reject(line, "the time is earlier than that of the previous line",
                   "sort the lines by time");
        }
        calls.push_back(std::move(call));
    }
    if (calls.empty()) {
        throw TraceError("the trace contains no calls", Format);
    }
    return calls;
}

std::string formatTraceCall(const TraceCall &call)
{
    return std::to_string(call.time.count()) + " " + call.className.value() + " "
        + call.region.value() + " " + call.zone.value() + " " + call.method + " " + call.path + " "
        + std::to_string(call.bodyBytes);
}

} // namespace bronzeshed
