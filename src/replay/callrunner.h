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

/** How long a caller tries. */
struct CallerOptions
{
    unsigned attempts = 12;
    unsigned repeatsAfterUnknown = 3;
    /** Between attempts after all addresses failed, or before the repeat of a lost request. */
    std::chrono::milliseconds pause{10};
    /** Added to the deadline, so that the entry's own answer about it arrives first. */
    std::chrono::milliseconds timeoutMargin{500};
    bool direct = false; ///< calls upstreams, whose answers state no outcome
    std::chrono::microseconds callerLatency{0}; ///< one way, between a caller and an entry
    std::chrono::microseconds regionLatency{0}; ///< one way, added for an entry of another region
};

/**
 * Makes calls as a caller does: it uses the addresses of the lookup answer in turn, takes a new
 * identity after "not-run" and repeats the same identity after "unknown" or a lost connection.
 * Latency counts from the scheduled time of a call, so a late start does not hide a delay.
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
     * @param scheduled when the call should have started
     */
    void start(std::size_t index, const TraceCall &call, TimePoint scheduled);
    std::size_t openCalls() const { return this->open.size(); }
    /** Records of all calls started, by number. */
    const std::map<std::size_t, CallRecord> &records() const { return this->finished; }
    /** Moves the calls that have no outcome to the records. */
    void giveUp();

private:
    struct Call;

    void lookUp(Call &call);
    void attempt(Call &call);
    void send(Call &call);
    /** One-way latency to the entry that the call uses. */
    Duration latencyOf(const Call &call) const;
    HttpRequest makeRequest(Call &call);
    void handleResult(Call &call, const ExchangeResult &result);
    void handleResponse(Call &call, const HttpResponse &response);
    void useNextEntry(Call &call);
    void repeat(Call &call);
    /** Runs @p step after @p delay if the call is still open then; at once without a delay. */
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
