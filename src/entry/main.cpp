#include "base/logline.h"
#include "base/program.h"
#include "entry/decisionloop.h"
#include "rpc/agentlink.h"
#include "rpc/ledgerclient.h"
#include "rpc/ledgerserver.h"

#include <cstdlib>
#include <iostream>
#include <thread>

namespace bronzeshed {

namespace {

constexpr std::size_t MaxCalls = 4096;
constexpr std::size_t AttemptsPerCall = 2;
constexpr unsigned IncarnationRandomBits = 22;
constexpr std::chrono::milliseconds TickPeriod{100};
/** Exit code after a second signal, which may have cut off requests. */
constexpr int ExitImmediate = 3;

/** Where other entries ask; by default the address for callers with a port of the system's choice.
 */
Endpoint ledgerEndpoint(const Settings &settings)
{
    if (settings.text("ledger-listen").empty()) {
        return {settings.endpoint("listen").host, 0};
    }
    return settings.endpoint("ledger-listen");
}

void checkSettings(const Settings &settings)
{
    settings.endpoint("listen");
    settings.endpoint("agent");
    ledgerEndpoint(settings);
    settings.milliseconds("drain-ms", 0, 600000);
}

/** A number that is higher for a later start of the same instance. */
Incarnation makeIncarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    SeededRandom random = makeSystemRandom();
    return Incarnation((static_cast<std::uint64_t>(ms) << IncarnationRandomBits)
                       | random.below(1U << IncarnationRandomBits));
}

/** Waits until @p done or until the time is over. @return whether a second signal arrived */
template<typename Condition>
bool waitUntil(SignalMonitor &signals, std::chrono::milliseconds limit, Condition done)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!done() && std::chrono::steady_clock::now() < end) {
        if (signals.wait(TickPeriod) != StopRequest::None) {
            return true;
        }
    }
    return false;
}

int runEntry(const Settings &settings)
{
    SignalMonitor signals;
    Wakeup wakeup;
    EventRing<CallerEvent> callerRing(MaxCalls, wakeup);
    EventRing<AttemptEvent> attemptRing(MaxCalls * AttemptsPerCall, wakeup);
    EventRing<CallId> departureRing(MaxCalls, wakeup);
    EventRing<LedgerQuestion> questionRing(MaxCalls, wakeup);
    EventRing<LedgerResult> resultRing(LedgerClient::MaxQueries, wakeup);
    CallerPort callerPort(callerRing, departureRing);
    HttpServer server(settings.endpoint("listen"), HttpLimits{}, callerPort);
    LedgerServer ledgerServer(ledgerEndpoint(settings), questionRing);
    LedgerClient ledgerClient(resultRing);

    EntryStatus status;
    status.incarnation = makeIncarnation();
    status.callerEndpoint = server.localEndpoint();
    status.ledgerEndpoint = ledgerServer.localEndpoint();
    ControlInbox control(status, wakeup);
    UpstreamPort upstreams(ConnectionPoolLimits{}, attemptRing);

    DecisionOptions options;
    options.dispatcher.region = RegionName(settings.text("region"));
    options.dispatcher.zone = ZoneName(settings.text("zone"));
    options.dispatcher.maxCalls = MaxCalls;
    options.incarnation = status.incarnation;
    DecisionLoop decisions(options,
                           {wakeup, callerRing, departureRing, attemptRing, questionRing,
                            resultRing, control, upstreams, ledgerServer, ledgerClient});
    std::thread decisionThread([&decisions] { decisions.run(); });
    AgentLink link(settings.endpoint("agent"), control);
    std::cout << "listening " << server.localEndpoint().toString() << std::endl;

    while (signals.wait(TickPeriod) == StopRequest::None) { }
    const auto window = settings.milliseconds("drain-ms", 0, 600000);
    LogLine("drain_started").add("window_ms", window.count());
    control.setLeaving();
    server.startDraining();
    bool immediate = waitUntil(signals, window, [] { return false; });
    decisions.refuseNewWork();
    immediate = immediate || waitUntil(signals, std::chrono::minutes(10), [&] {
                    return decisions.openCalls() == 0 && server.pendingRequests() == 0;
                });
    LogLine("drain_ended").add("open_calls", decisions.openCalls()).add("immediate", immediate);
    if (immediate) {
        // Joining the threads would wait for the agent's answer.
        std::_Exit(ExitImmediate);
    }
    link.stop();
    server.stop();
    decisions.stop();
    decisionThread.join();
    ledgerServer.stop();
    ledgerClient.stop();
    upstreams.stop();
    return 0;
}

} // namespace

} // namespace bronzeshed

int main(int argc, char **argv)
{
    using namespace bronzeshed;
    const std::vector<SettingSpec> specs{
        {"region", "", "region of this instance", true},
        {"zone", "", "availability zone of this instance", true},
        {"listen", "", "address where callers connect", true},
        {"agent", "", "address of this instance's agent", true},
        {"ledger-listen", "", "address where other entries ask about request ids"},
        {"drain-ms", "15000", "how long a leaving entry goes on serving"},
    };
    Settings settings("bronzeshed-entry", "Serves callers of one entry instance.", specs);
    return runProgram(argc, argv, settings, checkSettings, runEntry);
}
