#ifndef BRONZESHED_REQUESTS_REQUESTLEDGER_H
#define BRONZESHED_REQUESTS_REQUESTLEDGER_H

#include "base/strongnumber.h"
#include "requests/periodclock.h"
#include "requests/requestidentity.h"
#include "requests/resolution.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace bronzeshed {

/** Bounds on the memory of a ledger. */
struct LedgerLimits
{
    /** A record takes about 200 bytes; records are kept for 11 to 12 minutes. */
    std::size_t records = 262144;
    std::size_t answerBytes = 16 * 1024 * 1024;
};

/** What to do with a request that arrived. */
enum class LedgerAction {
    Run, ///< run it now and report its outcome with complete()
    Wait, ///< it repeats a request in progress; complete() names it
    Reply, ///< reply with the attached outcome
};

struct LedgerDecision
{
    LedgerAction action = LedgerAction::Reply;
    RecordedOutcome reply; ///< valid if Reply
};

/**
 * Records the non-idempotent requests of one entry process so that each id runs at most once. Uses
 * no sockets, threads or wall clock. Holds ids of its own incarnation only.
 */
class RequestLedger
{
public:
    /** @param startsIn when the first period begins, see PeriodClock */
    RequestLedger(const Clock &clock, Incarnation own, const LedgerLimits &limits,
                  Duration startsIn = Duration::zero());

    /**
     * Takes a request or a repeat.
     * @param digest of the request, see digestOf()
     * @param call names it in the result of complete()
     */
    LedgerDecision begin(const RequestIdentity &identity, std::uint64_t digest, CallId call);

    /**
     * Records the outcome of a request that begin() said to run.
     * @return the repeats that wait for it
     */
    std::vector<CallId> complete(const RequestIdentity &identity, RecordedOutcome outcome);

    /** Answers another entry. An id that was never seen is fenced. */
    Resolution resolve(const RequestIdentity &identity, std::uint64_t digest);

    /** Drops some of the expired records, so that no single call takes long. */
    void dropExpired();

    std::uint64_t currentPeriod() const { return this->periods.current(); }
    Incarnation incarnation() const { return this->own; }
    std::size_t records() const { return this->recordCount; }
    std::size_t answerBytes() const { return this->bytes; }

private:
    struct Record
    {
        std::uint64_t digest = 0;
        bool running = false;
        bool fenced = false;
        RecordedOutcome outcome; ///< valid if not running
        std::vector<CallId> waiting;
    };
    /** Records of one period by nonce. A tree, since rehashing a large table takes milliseconds. */
    using Records = std::map<std::string, Record>;

    std::optional<RecordedOutcome> refusal(const RequestIdentity &identity) const;
    Record *find(const RequestIdentity &identity);
    Record *insert(const RequestIdentity &identity, std::uint64_t digest);
    void evictAnswers();
    void forget(Record &record);

    PeriodClock periods;
    Incarnation own;
    LedgerLimits limits;
    std::map<std::uint64_t, Records> byPeriod;
    std::size_t recordCount = 0;
    std::size_t bytes = 0;
    std::deque<RequestIdentity> answered; ///< oldest answer first; may name dropped records
    /** Unknown ids of this and earlier periods are refused, since one was when the ledger was full.
     */
    std::optional<std::uint64_t> closedThrough;
};

} // namespace bronzeshed

#endif
