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

/** Limits of the memory that a ledger uses. */
struct LedgerLimits
{
    /** Maximum number of records. A record takes about 200 bytes and is kept for 11 to 12 minutes.
     */
    std::size_t records = 262144;
    /** Maximum total size of the recorded answers, in bytes. */
    std::size_t answerBytes = 16 * 1024 * 1024;
};

/** Action that the entry must take for a request that arrived. */
enum class LedgerAction {
    Run, ///< run the request now and report its outcome with complete()
    Wait, ///< repeat of a request in progress; complete() returns its call
    Reply, ///< reply immediately with the attached outcome
};

struct LedgerDecision
{
    LedgerAction action = LedgerAction::Reply;
    RecordedOutcome reply; ///< valid if the action is Reply
};

/**
 * Records the non-idempotent requests of one entry process so that each id runs at most once. Holds
 * only ids of its own incarnation. Uses no sockets, threads or wall clock.
 */
class RequestLedger
{
public:
    /** @param startsIn time until the first period begins, see PeriodClock */
    RequestLedger(const Clock &clock, Incarnation own, const LedgerLimits &limits,
                  Duration startsIn = Duration::zero());

    /**
     * Registers a request or a repeat of one.
     * @param digest digest of the request, see digestOf()
     * @param call identifies this call in the result of complete()
     */
    LedgerDecision begin(const RequestIdentity &identity, std::uint64_t digest, CallId call);

    /**
     * Records the outcome of a request for which begin() returned LedgerAction::Run.
     * @return the repeats that wait for this outcome
     */
    std::vector<CallId> complete(const RequestIdentity &identity, RecordedOutcome outcome);

    /** Resolves an id for another entry. An id without a record is fenced, so it can never run. */
    Resolution resolve(const RequestIdentity &identity, std::uint64_t digest);

    /** Drops a limited number of expired records, so that no single call takes long. */
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
    /** Records of one period by nonce. A tree, because rehashing a large hash table takes ms. */
    using Records = std::map<std::string, Record>;

    /** @return the outcome with which the id must be rejected, or std::nullopt if it is accepted */
    std::optional<RecordedOutcome> findRejection(const RequestIdentity &identity) const;
    Record *find(const RequestIdentity &identity);
    Record *insert(const RequestIdentity &identity, std::uint64_t digest);
    void evictAnswers();
    void releaseAnswer(Record &record);

    PeriodClock periods;
    Incarnation own;
    LedgerLimits limits;
    std::map<std::uint64_t, Records> byPeriod;
    std::size_t recordCount = 0;
    std::size_t bytes = 0;
    std::deque<RequestIdentity> answered; ///< oldest first; may include dropped records
    /**
     * Latest period of an id that was rejected because the ledger was full. Ids without a record
     * are rejected in this and all earlier periods.
     */
    std::optional<std::uint64_t> lastClosedPeriod;
};

} // namespace bronzeshed

#endif
