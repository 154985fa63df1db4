#ifndef BRONZESHED_METRICS_METRICEVENT_H
#define BRONZESHED_METRICS_METRICEVENT_H

#include "base/clock.h"
#include "base/strongid.h"
#include "base/strongnumber.h"

#include <string_view>
#include <variant>

namespace bronzeshed {

/** A call got its outcome. */
struct CallMeasured
{
    ClassName className;
    std::string_view outcome; ///< static text
    std::string_view reason; ///< static text
    Duration latency = Duration::zero(); ///< from arrival to outcome
    Duration target = Duration::zero(); ///< of the class; zero if unknown
};

/** An attempt at an upstream ended. */
struct AttemptMeasured
{
    UpstreamId upstream;
    std::string_view status; ///< static text
    Duration latency = Duration::zero();
    bool retry = false;
    bool hedge = false;
    ByteCount crossRegionBytes; ///< request and response, if the upstream is in another region
};

/** A probe was sent. */
struct ProbeMeasured
{
    UpstreamId upstream;
    ByteCount bytes;
};

using MetricEvent = std::variant<CallMeasured, AttemptMeasured, ProbeMeasured>;

} // namespace bronzeshed

#endif
