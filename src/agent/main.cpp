#include "agent/agentmetrics.h"
#include "agent/gossip.h"
#include "agent/instancelistreader.h"
#include "agent/operatorservice.h"
#include "agent/storereader.h"
#include "agent/worker.h"
#include "base/logline.h"
#include "base/program.h"
#include "platform/httpinstancelist.h"
#include "platform/httpkeyvaluestore.h"
#include "rpc/agentserver.h"
#include "rpc/peerclient.h"

namespace bronzeshed {

namespace {

constexpr std::chrono::milliseconds PlatformTimeout{2000};
constexpr std::chrono::milliseconds TickPeriod{100};

void checkSettings(const Settings &settings)
{
    settings.endpoint("listen");
    settings.endpoint("store");
    settings.endpoint("instance-list");
    settings.milliseconds("totals-period-ms", 100, 86400000);
    settings.endpoint("admin-listen");
    OperatorService::checkSettings(settings);
}

void logTotals(const ControlCounters &counters)
{
    const ControlTotals totals = counters.totals();
    LogLine line("control_totals");
    line.add("bytes_sent", totals.bytesSent).add("bytes_received", totals.bytesReceived);
    for (std::size_t kind = 0; kind < ControlMessageKinds; ++kind) {
        line.add(controlMessageName(static_cast<ControlMessage>(kind)), totals.messages[kind]);
    }
}

/** Calls AgentState::tick() and logs the totals periodically until a stop signal arrives. */
void runUntilStopped(SignalMonitor &signals, AgentState &state, const ControlCounters &counters,
                     Duration totalsPeriod)
{
    TimePoint nextTotals = std::chrono::steady_clock::now() + totalsPeriod;
    while (signals.wait(TickPeriod) == StopRequest::None) {
        state.tick();
        if (std::chrono::steady_clock::now() >= nextTotals) {
            logTotals(counters);
            nextTotals = std::chrono::steady_clock::now() + totalsPeriod;
        }
    }
    logTotals(counters);
}

int runAgent(const Settings &settings)
{
    SignalMonitor signals;
    SystemClock clock;
    SeededRandom gossipRandom = makeSystemRandom();
    SeededRandom storeRandom = makeSystemRandom();
    ControlCounters counters;
    Wakeup updatesWakeup;
    AgentState state(clock,
                     {InstanceId(settings.text("instance")), RegionName(settings.text("region")),
                      ZoneName(settings.text("zone"))},
                     updatesWakeup);
    Gossip gossip(state, gossipRandom);
    AgentServer server(settings.endpoint("listen"), state, gossip, counters);
    state.setAgentEndpoint(server.localEndpoint());
    printAddress("listening", server.localEndpoint());

    std::atomic<bool> stopping{false};
    const auto cancelWatch = [&] { return stopping.load() || state.needsConfirmation(); };
    HttpKeyValueStore store(settings.endpoint("store"), PlatformTimeout, cancelWatch);
    HttpInstanceList list(settings.endpoint("instance-list"), PlatformTimeout);
    StoreReader storeReader(clock, storeRandom, store, state, counters, cancelWatch);
    InstanceListReader listReader(clock, list, state, counters);
    Worker listThread("instance_list", [&] { return listReader.step(); });
    Worker storeThread("store", [&] { return storeReader.step(); });
    PeerClient peers(gossip, updatesWakeup, counters);
    OperatorService operators(state, settings, PlatformTimeout);
    AgentMetrics metrics(state, counters);
    AdminPort adminPort(metrics);
    HttpServer admin(settings.endpoint("admin-listen"), HttpLimits{}, adminPort);
    printAddress("admin-listening", admin.localEndpoint());
    printAddress("operator-listening", operators.localEndpoint());

    runUntilStopped(signals, state, counters,
                    settings.milliseconds("totals-period-ms", 100, 86400000));
    stopping.store(true);
    admin.stop();
    operators.stop();
    peers.stop();
    storeThread.stop();
    listThread.stop();
    server.stop();
    return 0;
}

} // namespace

} // namespace bronzeshed

int main(int argc, char **argv)
{
    using namespace bronzeshed;
    std::vector<SettingSpec> specs{
        {"instance", "", "id of this instance", true},
        {"region", "", "region of this instance", true},
        {"zone", "", "availability zone of this instance", true},
        {"listen", "", "address for RPC from the entry and from other agents", true},
        {"store", "", "address of the platform's key-value service", true},
        {"instance-list", "", "address of the platform's instance list", true},
        {"admin-listen", "127.0.0.1:0", "address of metrics, health and readiness"},
        {"totals-period-ms", "60000",
         "milliseconds between log lines with the totals of the control traffic"},
    };
    for (const SettingSpec &spec : OperatorService::settingSpecs()) {
        specs.push_back(spec);
    }
    Settings settings("bronzeshed-agent", "Maintains the control state of one entry instance.",
                      specs);
    return runProgram(argc, argv, settings, checkSettings, runAgent);
}
