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

/** A trace file does not follow the format. */
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
 * by single blanks and ordered by time.
 * @throws TraceError naming the line
 */
std::vector<TraceCall> parseTrace(std::istream &input);

/** Line of a call, without the line end. */
std::string formatTraceCall(const TraceCall &call);

} // namespace bronzeshed

#endif
