#include "base/error.h"
#include "entry/entryprocess.h"

#include <cstdlib>

namespace bronzeshed {

namespace {

constexpr std::uint64_t MaxDrainMs = 600000;
constexpr std::chrono::milliseconds PollPeriod{100};
/** Exit code if a second signal interrupted the drain. */
constexpr int ExitImmediate = 3;

/** Returns the address of the ledger; by default the caller address with any free port. */
Endpoint ledgerEndpoint(const Settings &settings)
{
    if (!settings.text("ledger-listen").empty()) {
        return settings.endpoint("ledger-listen");
    }
    return {settings.endpoint("listen").host, 0};
}

EntryOptions readOptions(const Settings &settings)
{
    EntryOptions options;
    options.region = RegionName(settings.text("region"));
    options.zone = ZoneName(settings.text("zone"));
    options.callers = settings.endpoint("listen");
    options.agent = settings.endpoint("agent");
    options.ledger = ledgerEndpoint(settings);
    options.admin = settings.endpoint("admin-listen");
    options.drainWindow = settings.milliseconds("drain-ms", 0, MaxDrainMs);
    if (options.agent.port == 0) {
        throw SettingsError("flag --agent has port 0", "give the port on which the agent listens");
    }
    return options;
}

void checkSettings(const Settings &settings)
{
    readOptions(settings);
}

int runEntry(const Settings &settings)
{
    SignalMonitor signals;
    EntryProcess entry(readOptions(settings));
    printAddress("listening", entry.callerEndpoint());
    printAddress("admin-listening", entry.adminEndpoint());
    while (signals.wait(PollPeriod) == StopRequest::None) {
        entry.collectMetrics();
    }
    if (!entry.drain(signals)) {
        // Joining the threads would block until the agent responds.
        std::_Exit(ExitImmediate);
    }
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
        {"ledger-listen", "", "address where the ledger answers queries of other entries"},
        {"admin-listen", "127.0.0.1:0", "address of metrics, health and readiness"},
        {"drain-ms", "15000", "how long a leaving entry keeps serving"},
    };
    Settings settings("bronzeshed-entry", "Serves callers of one entry instance.", specs);
    return runProgram(argc, argv, settings, checkSettings, runEntry);
}
