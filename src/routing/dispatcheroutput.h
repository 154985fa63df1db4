#ifndef BRONZESHED_ROUTING_DISPATCHEROUTPUT_H
#define BRONZESHED_ROUTING_DISPATCHEROUTPUT_H

#include "base/clock.h"
#include "base/connectiontrace.h"
#include "base/strongnumber.h"
#include "membership/controlstate.h"
#include "requests/outcome.h"
#include "routing/loadreport.h"

#include <optional>
#include <string>
#include <string_view>

namespace bronzeshed {

/** How an attempt at an upstream ended. */
enum class AttemptStatus {
    Answered, ///< a complete response was received
    NotStarted, ///< the upstream reported that it did not start the request
    NotSent, ///< no byte was written
    Failed, ///< failed after a byte may have been written
    TimedOut, ///< no complete response in time, after a byte may have been written
    Cancelled, ///< cancelled by the dispatcher
};

/** Returns the name of a status in metrics and log lines, as a static string. */
std::string_view attemptStatusName(AttemptStatus status);

/** Result of an attempt. */
struct AttemptReport
{
    AttemptStatus status = AttemptStatus::NotSent;
    unsigned httpStatus = 0; ///< valid if Answered
    bool draining = false; ///< the upstream reported that it is draining
    std::optional<LoadReport> load; ///< load reported by the upstream
    std::optional<Duration> serviceTime; ///< execution time reported by the upstream
    ConnectionTrace connection; ///< tells late copies of responses from answers in the log

    /** Whether the response is complete and no server error: a failing upstream answers as well. */
    bool isSuccess() const
    {
        return this->status == AttemptStatus::Answered && this->httpStatus < FirstServerError;
    }

private:
    static constexpr unsigned FirstServerError = 500;
};

/** Instruction to send a call to an upstream. */
struct AttemptOrder
{
    CallId call;
    AttemptId attempt;
    UpstreamInfo upstream;
    Duration timeout = Duration::zero();
    bool idempotent = false; ///< if not set, only new or recently used connections may be used
    bool hedge = false; ///< runs in parallel with another attempt of the same call
    bool retry = false; ///< follows a failed attempt of the same call
    std::optional<LoadReport>
        load; ///< newest load report, on which the choice of the upstream is based
    Duration loadAge = Duration::zero(); ///< age of the load report
};

/** Instruction to query the health endpoint of an upstream for its health or its load. */
struct ProbeOrder
{
    UpstreamInfo upstream;
    Duration timeout = Duration::zero();
    bool loadProbe = false; ///< queries the load only, so any idle connection may be used
    std::string path = "/health";
};

/** Interface through which a dispatcher reports its decisions. */
class DispatcherOutput
{
public:
    virtual ~DispatcherOutput() = default;
    virtual void startAttempt(const AttemptOrder &order) = 0;
    /** Cancels a running attempt. Its end must still be reported to the dispatcher. */
    virtual void cancelAttempt(AttemptId id) = 0;
    /** Finishes a call. If it was answered, @p winner is the attempt with the response. */
    virtual void finishCall(CallId id, Outcome outcome, Reason reason, AttemptId winner) = 0;
    /**
     * Sends a probe. Its end must be reported to Dispatcher::probeEnded().
     * @return false if this output cannot send probes; a trial call then decides on readmission
     */
    virtual bool startProbe(const ProbeOrder & /*order*/) { return false; }
};

} // namespace bronzeshed

#endif
