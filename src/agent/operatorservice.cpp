#include "agent/operatorservice.h"

#include "base/error.h"

namespace bronzeshed {

OperatorService::OperatorService(AgentState &state, const Settings &settings,
                                 std::chrono::milliseconds timeout)
    : adapter(state)
    , store(settings.endpoint("store"), timeout)
    , writeIds(makeSystemRandom())
    , keeper(adapter, store, writeIds, wallClockMs)
    , calls(adapter)
    , api(adapter, store, keeper, calls, settings.text("operator-token"))
    , server(settings.endpoint("operator-listen"), HttpLimits{}, api)
{
}

std::vector<SettingSpec> OperatorService::settingSpecs()
{
    return {
        {"operator-listen", "127.0.0.1:0", "address of the operator API"},
        {"operator-token", "", "bearer token for the operator API; set it in the environment only"},
    };
}

void OperatorService::checkSettings(const Settings &settings)
{
    const bool hasToken = !settings.text("operator-token").empty();
    if (!hasToken && !isLoopback(settings.endpoint("operator-listen"))) {
        throw SettingsError(
            "flag --operator-listen exposes the operator API to other instances without a token",
            "set BRONZESHED_OPERATOR_TOKEN or listen on 127.0.0.1");
    }
}

void OperatorService::stop()
{
    this->server.stop();
    this->api.stop();
}

} // namespace bronzeshed
