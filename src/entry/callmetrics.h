#ifndef BRONZESHED_ENTRY_CALLMETRICS_H
#define BRONZESHED_ENTRY_CALLMETRICS_H

#include "config/declaration.h"
#include "entry/callparser.h"
#include "metrics/callwindow.h"
#include "metrics/metricshub.h"
#include "routing/dispatcheroutput.h"

#include <unordered_map>

namespace bronzeshed {

/** Whether a caller may repeat a call of unknown outcome under its id. */
enum class UnknownRepeats {
    Safe, ///< a ledger keeps the call from a second run; the log says so
    Unsafe, ///< there is no ledger
};

/** Turns what happens to calls and attempts into metrics and log lines. Decision thread only. */
class CallMetrics
{
public:
    CallMetrics(MetricsHub &hub, const Clock &clock, RegionName ownRegion,
                UnknownRepeats repeats = UnknownRepeats::Safe);

    void attemptStarted(const AttemptOrder &order, std::size_t requestBytes);
    void attemptEnded(AttemptId id, const AttemptReport &report, std::size_t responseBytes);
    void probeSent(const UpstreamId &upstream, std::size_t bytes);
    /** @param target of the call's class, or nullptr if the class is not declared */
    void callFinished(const CallHeaders &headers, const ClassTarget *target, TimePoint arrival,
                      Outcome outcome, Reason reason);

    /** Forgets the counts of classes that are gone or whose target has changed. */
    void declarationChanged(const Declaration &declaration);
    /** Counts of the last minute, of the classes that had calls. */
    CallCountsByClass lastMinute() const;

private:
    struct Running
    {
        UpstreamId upstream;
        TimePoint start;
        bool hedge = false;
        bool retry = false;
        bool crossRegion = false;
        std::size_t requestBytes = 0;
    };

    /** Calls of one class against one target. */
    struct Watched
    {
        Duration target;
        CallWindow window;
    };

    void countCall(const ClassTarget &target, Outcome outcome, Duration latency);

    MetricsHub &hub;
    const Clock &clock;
    RegionName ownRegion;
    UnknownRepeats repeats;
    std::unordered_map<AttemptId, Running> running;
    std::unordered_map<ClassName, Watched> watched; ///< declared classes only, so it is bounded
};

} // namespace bronzeshed

#endif
