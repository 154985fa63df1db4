#ifndef BRONZESHED_REPLAY_CALLRUNNER_H
#define BRONZESHED_REPLAY_CALLRUNNER_H

#include "base/random.h"
#include "config/declaration.h"
#include "replay/callrecord.h"
#include "replay/entrydirectory.h"
#include "replay/trace.h"

#include <functional>
#include <memory>

namespace bronzeshed {

/** Retry limits and simulated latencies of a caller. */
struct CallerOptions
{
    unsigned maxAttempts = 12;
    unsigned maxRepeatsAfterUnknown = 3;
    /** Delay before a new lookup after all addresses failed, and before a request is repeated. */
    std::chrono::milliseconds retryDelay{10};
    /** Added to the deadline, so that the entry's response about a missed deadline arrives first.
     */
    std::chrono::milliseconds timeoutMargin{500};
    bool direct = false; ///< calls upstreams, whose responses carry no outcome header
    std::chrono::microseconds callerLatency{0}; ///< one way, between a caller and an entry
    std::chrono::microseconds regionLatency{
        0}; ///< one way, added if the entry is in another region
};

/**
 * Makes calls in the way a caller does: tries the addresses of the lookup answer in order, uses a
 * new identity after "not-run", and repeats the same identity after "unknown" or a lost connection.
 * Latency counts from the scheduled start of a call, so that it includes the delay of a late start.
 */
class CallRunner
{
public:
    CallRunner(const Clock &clock, TimerService &timers, Random &random, CallTransport &transport,
               EntryDirectory &directory, const Declaration &declaration,
               const CallerOptions &options);
    ~CallRunner();

    /**
     * Starts call number @p index.
     * @param scheduled time at which the call is due
     */
    void start(std::size_t index, const TraceCall &call, TimePoint scheduled);
    std::size_t openCalls() const { return this->open.size(); }
    /** Records of the finished calls, by call number. */
    const std::map<std::size_t, CallRecord> &records() const { return this->finished; }
    /** Stops all open calls and adds them to the records as CallEnd::Open. */
    void abandonOpenCalls();

private:
    struct Call;

    void lookUp(Call &call);
    void attempt(Call &call);
    void send(Call &call);
    /** One-way latency to the current entry of the call. */
    Duration latencyOf(const Call &call) const;
    HttpRequest makeRequest(Call &call);
    void handleResult(Call &call, const ExchangeResult &result);
    void handleResponse(Call &call, const HttpResponse &response);
    void useNextEntry(Call &call);
    void repeat(Call &call);
    /** Runs @p step after @p delay if the call is still open. Runs it immediately if the delay is
     * 0. */
    void after(Duration delay, std::size_t index, std::function<void(Call &)> step);
    void finish(Call &call, CallEnd end);

    const Clock &clock;
    TimerService &timers;
    Random &random;
    CallTransport &transport;
    EntryDirectory &directory;
    const Declaration &declaration;
    CallerOptions options;
    std::map<std::size_t, std::unique_ptr<Call>> open;
    std::map<std::size_t, CallRecord> finished;
};

} // namespace bronzeshed

#endif
