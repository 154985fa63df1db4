#ifndef BRONZESHED_BASE_CONNECTIONTRACE_H
#define BRONZESHED_BASE_CONNECTIONTRACE_H

#include <cstdint>

namespace bronzeshed {

/** Which connection carried an exchange, and what else arrived on it. */
struct ConnectionTrace
{
    std::uint64_t number = 0; ///< of the connection within its pool, counted from 1; 0 if none
    unsigned use = 0; ///< exchanges on the connection so far, this one included
    unsigned skippedResponses = 0; ///< responses to earlier requests that preceded the result
};

} // namespace bronzeshed

#endif
