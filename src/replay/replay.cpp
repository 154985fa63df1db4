#include "replay/replay.h"

#include "http/httpclient.h"
#include "replay/pooltransport.h"

#include <charconv>
#include <sstream>
#include <sys/prctl.h>

namespace bronzeshed {

namespace {

constexpr unsigned long TimerSlackNs = 1000;
constexpr std::chrono::milliseconds MaxSleep{20};
constexpr std::chrono::milliseconds FirstCallDelay{50};
constexpr std::chrono::seconds ExecutionsTimeout{10};

void checkClasses(const ReplayOptions &options)
{
    for (const TraceCall &call : options.trace) {
        if (!options.declaration.classes.contains(call.className)) {
            throw TraceError("the trace contains calls of the undeclared class '"
                                 + call.className.value() + "'",
                             "use the declaration that the trace was generated for");
        }
    }
}

std::unique_ptr<EntryDirectory> makeDirectory(const ReplayOptions &options, const Clock &clock,
                                              TimerService &timers, CallTransport &transport)
{
    if (options.caller.direct) {
        return std::make_unique<FixedDirectory>(options.targets);
    }
    return std::make_unique<LookupDirectory>(clock, timers, transport, options.targets);
}

/** Starts each call when it is due, even if earlier calls are still open, and waits for all calls.
 */
void runCalls(const ReplayOptions &options, const Clock &clock, TimerService &timers,
              PoolTransport &transport, CallRunner &runner)
{
    const TimePoint start = clock.now() + FirstCallDelay;
    const TimePoint end = start + options.trace.back().time + options.grace;
    std::size_t next = 0;
    while ((next < options.trace.size() || runner.openCalls() > 0) && clock.now() < end) {
        while (next < options.trace.size() && start + options.trace[next].time <= clock.now()) {
            runner.start(next, options.trace[next], start + options.trace[next].time);
            ++next;
        }
        timers.fire(clock.now());
        TimePoint wakeAt = clock.now() + MaxSleep;
        if (next < options.trace.size()) {
            wakeAt = std::min<TimePoint>(wakeAt, start + options.trace[next].time);
        }
        transport.runUntil(std::min(wakeAt, timers.nextDue().value_or(wakeAt)));
    }
    runner.abandonOpenCalls();
}

ExecutionCounts fetchExecutions(const std::vector<Endpoint> &upstreams)
{
    ExecutionCounts counts;
    HttpRequest request;
    request.target = "/executions";
    for (const Endpoint &upstream : upstreams) {
        addExecutions(sendHttpRequest(upstream, request, ExecutionsTimeout).body, counts);
    }
    return counts;
}

bool report(const ReplayOptions &options, const CallRunner &runner,
            const ExecutionCounts &executions, std::ostream &output)
{
    std::map<ClassName, ClassStatistics> statistics;
    for (const auto &[index, record] : runner.records()) {
        const ClassName &name = options.trace[index].className;
        const Duration target = options.declaration.classes.at(name).answerWithin;
        statistics.try_emplace(name, target).first->second.add(record, executions);
        if (options.latencies != nullptr && record.end == CallEnd::Answered) {
            *options.latencies
                << index << " "
                << std::chrono::duration_cast<std::chrono::microseconds>(record.latency).count()
                << "\n";
        }
    }
    bool passed = true;
    for (const auto &[name, classStatistics] : statistics) {
        output << classStatistics.line(name.value()) << "\n";
        passed = passed && !classStatistics.hasViolation();
    }
    return passed;
}

} // namespace

void addExecutions(const std::string &text, ExecutionCounts &counts)
{
    std::istringstream lines(text);
    std::string line;
    while (std::getline(lines, line)) {
        const std::size_t blank = line.find(' ');
        std::uint64_t count = 0;
        const char *end = line.data() + line.size();
        const bool valid = blank != std::string::npos && blank > 0
            && std::from_chars(line.data() + blank + 1, end, count).ptr == end;
        if (!valid || count == 0) {
            throw ProtocolError("the response to /executions has the malformed line '" + line + "'",
                                "check that the address is that of an upstream stand-in");
        }
        counts[line.substr(0, blank)] += count;
    }
}

bool replayTrace(const ReplayOptions &options, std::ostream &output)
{
    checkClasses(options);
    ::prctl(PR_SET_TIMERSLACK, TimerSlackNs, 0, 0, 0);
    const SystemClock clock;
    TimerService timers;
    SeededRandom random = makeSystemRandom();
    ConnectionPoolLimits limits;
    limits.idlePerEndpoint = 64;
    PoolTransport transport(limits);
    const auto directory = makeDirectory(options, clock, timers, transport);
    CallRunner runner(clock, timers, random, transport, *directory, options.declaration,
                      options.caller);
    runCalls(options, clock, timers, transport, runner);
    transport.stop();
    return report(options, runner, fetchExecutions(options.upstreams), output);
}

} // namespace bronzeshed
