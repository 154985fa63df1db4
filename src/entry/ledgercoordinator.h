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
     * Takes a call. Must come before any other reason to refuse it, since a repeat must not be told
     * `not-run` while the first request runs.
     * @return whether the call is to run; if not, it is answered now or later
     */
    bool admit(const IdentifiedCall &call, const std::vector<Member> &members);

    /**
     * Goes on under another incarnation, whose first period begins after @p startsIn. What was
     * recorded is dropped: its ids belong to the former incarnation and never run again.
     */
    void restart(Incarnation own, Duration startsIn);

    /** Records the outcome of a call that was to run and answers its repeats. */
    void complete(const RequestIdentity &identity, Outcome outcome, Reason reason,
                  const HttpResponse &response);

    /** Answers another entry. */
    Resolution resolve(const IncomingLedgerQuery &question);

    /** Takes what another entry answered. */
    void takeResult(const LedgerResult &result);

    /** An id for a request that came without one. */
    RequestId makeId(std::uint64_t nonce) const;

    /** Calls that wait for the outcome of another call or for another entry. */
    std::size_t waitingCalls() const { return this->waiting.size(); }

private:
    struct WaitingCall
    {
        std::shared_ptr<HttpExchange> exchange;
        TimerId expiry;
    };

    void askOwner(const IdentifiedCall &call, const std::vector<Member> &members);
    void wait(const IdentifiedCall &call, TimePoint limit, Reason reasonAtLimit);
    void answerWaiting(CallId id, const RecordedOutcome &outcome);

    const Clock &clock;
    TimerService &timers;
    LedgerPeers &peers;
    LedgerLimits limits;
    std::unique_ptr<RequestLedger> ledger;
    std::unordered_map<CallId, WaitingCall> waiting;
};

} // namespace bronzeshed

#endif
