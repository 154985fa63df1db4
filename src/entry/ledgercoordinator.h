#ifndef BRONZESHED_ENTRY_LEDGERCOORDINATOR_H
#define BRONZESHED_ENTRY_LEDGERCOORDINATOR_H

#include "base/timerservice.h"
#include "http/httpserver.h"
#include "membership/controlstate.h"
#include "requests/requestledger.h"
#include "rpc/ledgerports.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace bronzeshed {

/** A call that may run at most once. */
struct IdentifiedCall
{
    CallId id;
    RequestIdentity identity;
    std::uint64_t digest = 0;
    TimePoint deadline;
    std::shared_ptr<HttpExchange> exchange;
};

/**
 * Decides which calls of non-idempotent classes run, and answers the others from the ledger of this
 * entry or of the entry that owns their id. Used by the decision thread only.
 */
class LedgerCoordinator
{
public:
    LedgerCoordinator(const Clock &clock, TimerService &timers, Incarnation own,
                      const LedgerLimits &limits, LedgerPeers &peers);

    /**
     * Checks a call against the ledger. Must precede all other checks that may refuse the call,
     * since a repeat must not be answered with `not-run` while the first request runs.
     * @return whether the call must be run; if not, the coordinator responds to it, immediately or
     * later
     */
    bool admit(const IdentifiedCall &call, const std::vector<Member> &members);

    /**
     * Continues with another incarnation, whose first period begins after @p startsIn. All records
     * are dropped, since their ids belong to the former incarnation and never run again.
     */
    void restart(Incarnation own, Duration startsIn);

    /** Records the outcome of a call that admit() accepted and responds to its waiting repeats. */
    void complete(const RequestIdentity &identity, Outcome outcome, Reason reason,
                  const HttpResponse &response);

    /** Answers the query of another entry about an id of this entry. */
    Resolution resolve(const IncomingLedgerQuery &question);

    /** Handles the reply of another entry and responds to the waiting call. */
    void handleResult(const LedgerResult &result);

    /** Returns an id for a request that has none. */
    RequestId makeRequestId(std::uint64_t nonce) const;

    /** Returns the number of calls that wait for the first request or for another entry. */
    std::size_t waitingCalls() const { return this->waiting.size(); }

private:
    struct WaitingCall
    {
        std::shared_ptr<HttpExchange> exchange;
        TimerId expiry;
    };

    void queryOwner(const IdentifiedCall &call, const std::vector<Member> &members);
    void wait(const IdentifiedCall &call, TimePoint limit, Reason reasonAtLimit);
    void respondToWaiting(CallId id, const RecordedOutcome &outcome);

    const Clock &clock;
    TimerService &timers;
    LedgerPeers &peers;
    LedgerLimits limits;
    std::unique_ptr<RequestLedger> ledger;
    std::unordered_map<CallId, WaitingCall> waiting;
};

} // namespace bronzeshed

#endif
