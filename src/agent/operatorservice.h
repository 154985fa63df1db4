#ifndef BRONZESHED_AGENT_OPERATORSERVICE_H
#define BRONZESHED_AGENT_OPERATORSERVICE_H

#include "agent/configkeeperadapter.h"
#include "agent/fleetcallsreader.h"
#include "agent/operatorapi.h"
#include "platform/httpkeyvaluestore.h"

namespace bronzeshed {

/** Owns the operator API of an agent with its configuration keeper, store client and server. */
class OperatorService
{
public:
    /** @throws Error if the operator address cannot be bound */
    OperatorService(AgentState &state, const Settings &settings, std::chrono::milliseconds timeout);

    /** Returns the flags that the service reads. */
    static std::vector<SettingSpec> settingSpecs();
    /** @throws SettingsError if other instances could make changes without a token */
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
