#ifndef BRONZESHED_ROUTING_DISPATCHEROUTPUT_H
#define BRONZESHED_ROUTING_DISPATCHEROUTPUT_H

#include "base/clock.h"
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
    Answered, ///< a whole response arrived
    NotStarted, ///< the upstream stated that it did not start the request
    NotSent, ///< no byte was written
    Failed, ///< failed after a byte may have been written
    TimedOut, ///< no whole response in time after a byte may have been written
    Cancelled, ///< cancelled by this side
};

/** Name of a status in metrics and log lines; static text. */
std::string_view attemptStatusName(AttemptStatus status);

/** What is known about an attempt after its end. */
struct AttemptReport
{
    AttemptStatus status = AttemptStatus::NotSent;
    unsigned httpStatus = 0; ///< valid if Answered
    bool draining = false; ///< the upstream said that it is leaving
    std::optional<LoadReport> load; ///< by its own report
    std::optional<Duration> serviceTime; ///< time spent running, by its own report

    /** Whether a response without server error arrived. An upstream that fails fast answers too. */
    bool isSuccess() const
    {
        return this->status == AttemptStatus::Answered && this->httpStatus < FirstServerError;
    }

private:
    static constexpr unsigned FirstServerError = 500;
};

/** An attempt to be made. */
struct AttemptOrder
{
    CallId call;
    AttemptId attempt;
    UpstreamInfo upstream;
    Duration timeout = Duration::zero();
    bool idempotent = false; ///< if not, only recently used or new connections may carry it
    bool hedge = false; ///< runs beside another attempt of the same call
    bool retry = false; ///< follows a failed attempt of the same call
    std::optional<LoadReport> load; ///< newest report of the upstream, by which it was chosen
    Duration loadAge = Duration::zero(); ///< of that report
};

/** A request to the health endpoint of an upstream, for its health or its load. */
struct ProbeOrder
{
    UpstreamInfo upstream;
    Duration timeout = Duration::zero();
    bool loadQuery = false; ///< asks for the load only, so any idle connection will do
    std::string path = "/health";
};

/** Port through which the decisions leave. */
class DispatcherOutput
{
public:
    virtual ~DispatcherOutput() = default;
    virtual void startAttempt(const AttemptOrder &order) = 0;
    /** Cancels a running attempt; its end is still reported. */
    virtual void cancelAttempt(AttemptId id) = 0;
    /** Ends a call. @p winner is the attempt whose response is the answer, if Answered. */
    virtual void finishCall(CallId id, Outcome outcome, Reason reason, AttemptId winner) = 0;
    /**
     * Sends a probe; its end goes to Dispatcher::probeEnded().
     * @return false if this output cannot probe; a trial call then decides alone
     */
    virtual bool startProbe(const ProbeOrder & /*order*/) { return false; }
};

} // namespace bronzeshed

#endif
