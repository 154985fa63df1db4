#include "replay/callrunner.h"

#include "standins/echoanswer.h"

#include <cstdio>

namespace bronzeshed {

namespace {

constexpr unsigned NonceWords = 2;

std::string makeNonce(Random &random)
{
    std::string nonce;
    for (unsigned i = 0; i < NonceWords; ++i) {
        char word[17];
        std::snprintf(word, sizeof(word), "%016llx",
                      static_cast<unsigned long long>(random.next()));
        nonce += word;
    }
    return nonce;
}

/** Makes a body that contains the call number, so that it differs between calls. */
std::string makeBody(std::size_t index, std::size_t bytes)
{
    const std::string unit = std::to_string(index) + ":";
    std::string body;
    while (body.size() < bytes) {
        body += unit;
    }
    body.resize(bytes);
    return body;
}

/** The outcome in an entry's response. A response without one is not from an entry, thus Wrong. */
CallEnd outcomeOf(const HttpResponse &response)
{
    const auto outcome = response.headers.find("Bronzeshed-Outcome");
    if (outcome == "answered") {
        return CallEnd::Answered;
    }
    if (outcome == "not-run") {
        return CallEnd::NotRun;
    }
    if (outcome == "unknown") {
        return CallEnd::Unknown;
    }
    return outcome == "invalid" ? CallEnd::Invalid : CallEnd::Wrong;
}

/** The outcome of a response from an upstream that was called directly. */
CallEnd outcomeOfDirect(const HttpResponse &response)
{
    const bool notStarted = response.headers.find("Bronzeshed-Not-Started") == "1";
    return notStarted ? CallEnd::NotRun : CallEnd::Answered;
}

} // namespace

struct CallRunner::Call
{
    std::size_t index = 0;
    LookupKey key;
    TimePoint scheduled;
    HttpRequest request; ///< the most recent attempt
    Duration deadline = Duration::zero();
    CallRecord record;
    std::vector<EntryAddress> entries;
    std::size_t entryIndex = 0; ///< the address in entries to use
    unsigned unknownCount = 0;
    bool needsIdentity = false; ///< the next attempt needs a new identity
    bool mayHaveRun = false; ///< the current identity was sent and may have been executed
};

CallRunner::CallRunner(const Clock &clock, TimerService &timers, Random &random,
                       CallTransport &transport, EntryDirectory &directory,
                       const Declaration &declaration, const CallerOptions &options)
    : clock(clock)
    , timers(timers)
    , random(random)
    , transport(transport)
    , directory(directory)
    , declaration(declaration)
    , options(options)
{
}

CallRunner::~CallRunner() = default;

void CallRunner::start(std::size_t index, const TraceCall &traced, TimePoint scheduled)
{
    const ClassTarget &target = this->declaration.classes.at(traced.className);
    auto owned = std::make_unique<Call>();
    Call &call = *owned;
    call.index = index;
    call.key = {traced.className, traced.region, traced.zone};
    call.scheduled = scheduled;
    call.deadline = target.deadline;
    call.record.repeatable = target.repeatable;
    call.needsIdentity = !target.repeatable;
    call.request.method = traced.method;
    call.request.target = traced.path + "?call=" + std::to_string(index);
    call.request.body = makeBody(index, traced.bodyBytes);
    this->open.emplace(index, std::move(owned));
    this->lookUp(call);
}

void CallRunner::lookUp(Call &call)
{
    this->directory.find(call.key,
                         [this, index = call.index](const std::vector<EntryAddress> &entries) {
                             const auto found = this->open.find(index);
                             if (found != this->open.end()) {
                                 found->second->entries = entries;
                                 found->second->entryIndex = 0;
                                 this->attempt(*found->second);
                             }
                         });
}

void CallRunner::attempt(Call &call)
{
    const EntryAddress &entry = call.entries[call.entryIndex];
    if (call.needsIdentity) {
        const std::string id = entry.ticket + "-" + makeNonce(this->random);
        call.record.identities.push_back({id});
        call.needsIdentity = false;
        call.mayHaveRun = false;
    }
    call.request = this->makeRequest(call);
    ++call.record.attempts;
    this->after(this->latencyOf(call), call.index, [this](Call &open) { this->send(open); });
}

Duration CallRunner::latencyOf(const Call &call) const
{
    const RegionName &region = call.entries[call.entryIndex].region;
    const bool isFar = !region.isEmpty() && region != call.key.region;
    return this->options.callerLatency
        + (isFar ? this->options.regionLatency : std::chrono::microseconds(0));
}

void CallRunner::send(Call &call)
{
    // An idle connection may be broken, which loses the request. A repeatable call can be sent
    // again; other calls use only connections that were used recently.
    const auto use = call.record.repeatable ? ConnectionUse::AnyIdle : ConnectionUse::RecentlyUsed;
    this->transport.send(
        call.entries[call.entryIndex].endpoint, call.request, use,
        call.deadline + this->options.timeoutMargin,
        [this, index = call.index, latency = this->latencyOf(call)](const ExchangeResult &result) {
            this->after(latency, index,
                        [this, result](Call &open) { this->handleResult(open, result); });
        });
}

HttpRequest CallRunner::makeRequest(Call &call)
{
    const auto deadline = std::chrono::duration_cast<std::chrono::milliseconds>(call.deadline);
    HttpRequest request = std::move(call.request);
    request.headers = {};
    request.headers.add("Bronzeshed-Class", call.key.className.value());
    request.headers.add("Bronzeshed-Caller", "replay-" + call.key.zone.value());
    request.headers.add("Bronzeshed-Deadline-Ms", std::to_string(deadline.count()));
    request.headers.add("Bronzeshed-Depth", "0");
    request.headers.add("Bronzeshed-Attempt", std::to_string(call.record.attempts));
    if (!call.record.identities.empty()) {
        request.headers.add("Bronzeshed-Request-Id", call.record.identities.back().id);
    }
    return request;
}

void CallRunner::handleResult(Call &call, const ExchangeResult &result)
{
    if (result.status == ExchangeStatus::Answered) {
        this->handleResponse(call, result.response);
    } else if (result.status == ExchangeStatus::NotSent) {
        // An identity is bound to the entry that issued its ticket. If it was never sent, the next
        // attempt uses an identity for the next entry instead.
        call.needsIdentity = !call.record.repeatable && !call.mayHaveRun;
        this->useNextEntry(call);
    } else {
        call.mayHaveRun = true;
        this->repeat(call);
    }
}

void CallRunner::handleResponse(Call &call, const HttpResponse &response)
{
    const CallEnd end = this->options.direct ? outcomeOfDirect(response) : outcomeOf(response);
    switch (end) {
    case CallEnd::Answered: {
        constexpr unsigned FirstServerError = 500;
        call.record.upstreamFailed = response.status >= FirstServerError;
        const bool isCorrect = response.status != 200 || isEchoAnswer(response.body, call.request);
        this->finish(call, isCorrect ? CallEnd::Answered : CallEnd::Wrong);
        return;
    }
    case CallEnd::NotRun:
        if (!call.record.repeatable) {
            call.record.identities.back().reportedNotRun = true;
            call.needsIdentity = true;
        }
        call.mayHaveRun = false;
        this->useNextEntry(call);
        return;
    case CallEnd::Unknown:
        call.mayHaveRun = true;
        this->repeat(call);
        return;
    default:
        this->finish(call, end);
    }
}

void CallRunner::useNextEntry(Call &call)
{
    if (call.record.attempts >= this->options.maxAttempts) {
        this->finish(call, call.mayHaveRun ? CallEnd::Unknown : CallEnd::NotRun);
        return;
    }
    ++call.entryIndex;
    if (call.entryIndex < call.entries.size()) {
        this->attempt(call);
        return;
    }
    this->directory.invalidate(call.key);
    this->after(this->options.retryDelay, call.index, [this](Call &open) { this->lookUp(open); });
}

void CallRunner::repeat(Call &call)
{
    ++call.unknownCount;
    if (call.unknownCount > this->options.maxRepeatsAfterUnknown) {
        this->finish(call, CallEnd::Unknown);
        return;
    }
    if (call.record.repeatable) {
        this->useNextEntry(call);
        return;
    }
    this->after(this->options.retryDelay, call.index, [this](Call &open) { this->attempt(open); });
}

void CallRunner::after(Duration delay, std::size_t index, std::function<void(Call &)> step)
{
    const auto run = [this, index, step = std::move(step)] {
        const auto found = this->open.find(index);
        if (found != this->open.end()) {
            step(*found->second);
        }
    };
    if (delay == Duration::zero()) {
        run();
        return;
    }
    this->timers.once(this->clock.now() + delay, [run](TimePoint) { run(); });
}

void CallRunner::finish(Call &call, CallEnd end)
{
    call.record.end = end;
    call.record.latency = this->clock.now() - call.scheduled;
    const std::size_t index = call.index;
    this->finished.emplace(index, std::move(call.record));
    this->open.erase(index);
}

void CallRunner::abandonOpenCalls()
{
    for (auto &[index, call] : this->open) {
        this->finished.emplace(index, std::move(call->record));
    }
    this->open.clear();
}

} // namespace bronzeshed
