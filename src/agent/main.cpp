#include "agent/agentstate.h"
#include "agent/operatorservice.h"
#include "base/error.h"
#include "base/logline.h"
#include "base/program.h"
#include "platform/httpinstancelist.h"
#include "platform/httpkeyvaluestore.h"
#include "rpc/agentserver.h"

#include <iostream>

namespace bronzeshed {

namespace {

constexpr std::chrono::milliseconds PlatformTimeout{2000};
constexpr std::chrono::milliseconds PollPeriod{1000};

void checkSettings(const Settings &settings)
{
    settings.endpoint("listen");
    settings.endpoint("store");
    settings.endpoint("instance-list");
    OperatorService::checkSettings(settings);
}

void poll(AgentState &state, KeyValueStore &store, InstanceList &list, std::uint64_t &revision)
{
    try {
        const StoredValue stored = store.get(ConfigKey);
        if (stored.revision > 0) {
            state.adoptRecord(parseConfigRecord(stored.value));
        }
        state.confirm(std::chrono::steady_clock::now());
        if (const auto snapshot = list.fetch(revision)) {
            state.adoptInstances(*snapshot);
            revision = snapshot->revision;
        }
    } catch (const Error &error) {
        LogLine("platform_poll_failed", LogLevel::Warning).add("error", error.what());
    }
}

int runAgent(const Settings &settings)
{
    SignalMonitor signals;
    const Endpoint listen = settings.endpoint("listen");
    AgentState state(InstanceId(settings.text("instance")), RegionName(settings.text("region")),
                     ZoneName(settings.text("zone")), listen);
    HttpKeyValueStore store(settings.endpoint("store"), PlatformTimeout);
    HttpInstanceList list(settings.endpoint("instance-list"), PlatformTimeout);
    AgentServer server(listen, state);
    std::cout << "listening " << server.localEndpoint().toString() << std::endl;
    OperatorService operators(state, settings, PlatformTimeout);
    std::cout << "operator-listening " << operators.localEndpoint().toString() << std::endl;
    std::uint64_t revision = 0;
    do {
        poll(state, store, list, revision);
    } while (signals.wait(PollPeriod) == StopRequest::None);
    operators.stop();
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
    };
    for (const SettingSpec &spec : OperatorService::settingSpecs()) {
        specs.push_back(spec);
    }
    Settings settings("bronzeshed-agent", "Keeps the control state of one entry instance.", specs);
    return runProgram(argc, argv, settings, checkSettings, runAgent);
}
