#ifndef BRONZESHED_REPLAY_TRACE_H
#define BRONZESHED_REPLAY_TRACE_H

#include "base/error.h"
#include "base/strongid.h"

#include <chrono>
#include <cstddef>
#include <istream>
#include <string>
#include <vector>

namespace bronzeshed {

/** Thrown for a malformed trace. */
class TraceError : public Error
{
public:
    using Error::Error;
};

/** One call of a trace. */
struct TraceCall
{
    std::chrono::microseconds time{0}; ///< since the start of the trace
    ClassName className;
    RegionName region; ///< of the caller
    ZoneName zone; ///< of the caller
    std::string method;
    std::string path;
    std::size_t bodyBytes = 0;

    bool operator==(const TraceCall &) const = default;
};

/**
 * Reads a trace: one line per call, "time_us class region zone method path body_bytes", separated
 * by single spaces and ordered by time.
 * @throws TraceError with the line number
 */
std::vector<TraceCall> parseTrace(std::istream &input);

/** Formats a call as a line of a trace, without the line break. */
std::string formatTraceCall(const TraceCall &call);

} // namespace bronzeshed

#endif
