#ifndef BRONZESHED_ROUTING_LOADSURVEY_H
#define BRONZESHED_ROUTING_LOADSURVEY_H

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
 * Asks upstreams for their load on behalf of calls that are about to be placed. Calls that need the
 * same upstream at the same time share one query.
 */
class LoadSurvey
{
public:
    /** How long a call waits for load reports before it is placed without them. */
    static constexpr std::chrono::milliseconds MaxWait{15};

    /**
     * @param ready called when a call has all its reports or has waited for MaxWait
     * @param late called for each upstream that did not answer within MaxWait
     */
    LoadSurvey(const Clock &clock, TimerService &timers, DispatcherOutput &output,
               std::function<void(CallId)> ready, std::function<void(const UpstreamId &)> late);
    ~LoadSurvey();
    LoadSurvey(const LoadSurvey &) = delete;
    LoadSurvey &operator=(const LoadSurvey &) = delete;

    /** @return whether at least one upstream was asked; if so, the call becomes ready later */
    bool begin(CallId call, const std::vector<UpstreamInfo> &upstreams);

    /**
     * The query to @p id ended, with or without an answer.
     * @param decisive whether the answer leaves nothing to wait for
     */
    void queryEnded(const UpstreamId &id, bool decisive);

    /** Forgets a call. */
    void cancel(CallId call);

private:
    struct Pending
    {
        std::set<UpstreamId> asked;
        TimerId limit;
    };

    bool ask(const UpstreamInfo &upstream);
    void end(CallId call);
    void expire(CallId call);

    const Clock &clock;
    TimerService &timers;
    DispatcherOutput &output;
    std::function<void(CallId)> ready;
    std::function<void(const UpstreamId &)> late;
    std::map<UpstreamId, std::vector<CallId>> queries; ///< in progress, with the calls that wait
    std::unordered_map<CallId, Pending> calls;
};

} // namespace bronzeshed

#endif
