#ifndef BRONZESHED_METRICS_METRICEVENT_H
#define BRONZESHED_METRICS_METRICEVENT_H

#include "base/clock.h"
#include "base/strongid.h"
#include "base/strongnumber.h"

#include <string_view>
#include <variant>

namespace bronzeshed {

/** Event: a call ended with an outcome. */
struct CallMeasured
{
    ClassName className;
    std::string_view outcome; ///< refers to static storage
    std::string_view reason; ///< refers to static storage
    Duration latency = Duration::zero(); ///< from arrival to outcome
    Duration target
        = Duration::zero(); ///< latency target of the class; zero if the class is unknown
};

/** Event: an attempt at an upstream ended. */
struct AttemptMeasured
{
    UpstreamId upstream;
    std::string_view status; ///< refers to static storage
    Duration latency = Duration::zero();
    bool retry = false;
    bool hedge = false;
    ByteCount crossRegionBytes; ///< of request and response; 0 within a region
};

/** Event: a probe was sent to an upstream. */
struct ProbeMeasured
{
    UpstreamId upstream;
    ByteCount bytes;
};

using MetricEvent = std::variant<CallMeasured, AttemptMeasured, ProbeMeasured>;

} // namespace bronzeshed

#endif
