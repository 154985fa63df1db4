#ifndef BRONZESHED_ROUTING_LOADPROBEROUND_H
#define BRONZESHED_ROUTING_LOADPROBEROUND_H

#include "base/clock.h"
#include "base/timerservice.h"
#include "routing/dispatcheroutput.h"

#include <functional>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace bronzeshed {

/**
 * Sends load probes to upstreams for calls that are about to be placed. Calls that need the load of
 * the same upstream at the same time share one probe.
 */
class LoadProbeRound
{
public:
    /** Time for which a call waits for load reports before it is placed without them. */
    static constexpr std::chrono::milliseconds MaxWait{15};

    /**
     * @param ready called when a call has all its reports or has waited for MaxWait
     * @param timedOut called for each upstream that did not answer within MaxWait
     */
    LoadProbeRound(const Clock &clock, TimerService &timers, DispatcherOutput &output,
                   std::function<void(CallId)> ready,
                   std::function<void(const UpstreamId &)> timedOut);
    ~LoadProbeRound();
    LoadProbeRound(const LoadProbeRound &) = delete;
    LoadProbeRound &operator=(const LoadProbeRound &) = delete;

    /** @return whether at least one upstream is being probed; if so, the call becomes ready later
     */
    bool begin(CallId call, const std::vector<UpstreamInfo> &upstreams);

    /**
     * Handles the end of the probe of @p id, with or without an answer.
     * @param decisive whether the waiting calls can be placed without the other reports
     */
    void loadProbeEnded(const UpstreamId &id, bool decisive);

    /** Stops waiting for reports on behalf of a call. */
    void cancel(CallId call);

private:
    struct PendingCall
    {
        std::set<UpstreamId> probed;
        TimerId timeout;
    };

    bool sendProbe(const UpstreamInfo &upstream);
    void complete(CallId call);
    void expire(CallId call);

    const Clock &clock;
    TimerService &timers;
    DispatcherOutput &output;
    std::function<void(CallId)> ready;
    std::function<void(const UpstreamId &)> timedOut;
    std::map<UpstreamId, std::vector<CallId>>
        openProbes; ///< probes in progress with the calls that wait for them
    std::unordered_map<CallId, PendingCall> calls;
};

} // namespace bronzeshed

#endif
