#ifndef BRONZESHED_ENTRY_CALLMETRICS_H
#define BRONZESHED_ENTRY_CALLMETRICS_H

#include "config/declaration.h"
#include "entry/callparser.h"
#include "metrics/callwindow.h"
#include "metrics/metricshub.h"
#include "routing/dispatcheroutput.h"

#include <unordered_map>

namespace bronzeshed {

/** Whether a caller may repeat a call of unknown outcome with the same request id. */
enum class UnknownOutcomeRepeats {
    Safe, ///< a ledger prevents a second run; unknown outcomes are logged with a remedy
    Unsafe, ///< there is no ledger
};

/** Records calls, attempts and probes as metrics and log lines. Decision thread only. */
class CallMetrics
{
public:
    CallMetrics(MetricsHub &hub, const Clock &clock, RegionName ownRegion,
                UnknownOutcomeRepeats repeats = UnknownOutcomeRepeats::Safe);

    void attemptStarted(const AttemptOrder &order, std::size_t requestBytes);
    void attemptEnded(AttemptId id, const AttemptReport &report, std::size_t responseBytes);
    void probeSent(const UpstreamId &upstream, std::size_t bytes);
    /** @param target target of the call's class, or nullptr if the class is not declared */
    void callFinished(const CallHeaders &headers, const ClassTarget *target, TimePoint arrival,
                      Outcome outcome, Reason reason);

    /** Removes the counts of classes that were removed or whose target has changed. */
    void declarationChanged(const Declaration &declaration);
    /** Returns the counts of the last minute for all classes that had calls. */
    CallCountsByClass lastMinute() const;

private:
    struct RunningAttempt
    {
        UpstreamId upstream;
        TimePoint start;
        bool hedge = false;
        bool retry = false;
        bool crossRegion = false;
        std::size_t requestBytes = 0;
    };

    /** Recent calls of one class, counted against one latency target. */
    struct TargetWindow
    {
        Duration target;
        CallWindow window;
    };

    void countCall(const ClassTarget &target, Outcome outcome, Duration latency);

    MetricsHub &hub;
    const Clock &clock;
    RegionName ownRegion;
    UnknownOutcomeRepeats repeats;
    std::unordered_map<AttemptId, RunningAttempt> runningAttempts;
    std::unordered_map<ClassName, TargetWindow>
        targetWindows; ///< bounded, since it holds declared classes only
};

} // namespace bronzeshed

#endif
