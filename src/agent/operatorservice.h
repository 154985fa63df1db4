#ifndef BRONZESHED_AGENT_OPERATORSERVICE_H
#define BRONZESHED_AGENT_OPERATORSERVICE_H

#include "agent/configkeeperadapter.h"
#include "agent/fleetcallsreader.h"
#include "agent/operatorapi.h"
#include "platform/httpkeyvaluestore.h"

namespace bronzeshed {

/** The operator API of an agent with all that it needs: keeper, store connection and server. */
class OperatorService
{
public:
    /** @throws Error if the operator address cannot be bound */
    OperatorService(AgentState &state, const Settings &settings, std::chrono::milliseconds timeout);

    /** Flags that the service reads. */
    static std::vector<SettingSpec> settingSpecs();
    /** @throws SettingsError if changes would be open to other machines without a token */
    static void checkSettings(const Settings &settings);

    Endpoint localEndpoint() const { return this->server.localEndpoint(); }
    void stop();

private:
    ConfigKeeperAdapter adapter;
    HttpKeyValueStore store;
    SeededRandom writeIds;
    ConfigKeeper keeper;
    FleetCallsReader calls;
    OperatorApi api;
    HttpServer server;
};

} // namespace bronzeshed

#endif
