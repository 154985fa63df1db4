#include "rpc/agentserver.h"

#include "base/logline.h"
#include "rpc/controlconnections.h"
#include "rpc/listener.h"

#include <kj/async-io.h>

namespace bronzeshed {

namespace {

constexpr auto StopPollPeriod = 50 * kj::MILLISECONDS;

} // namespace

AgentServer::AgentServer(const Endpoint &endpoint, ControlStateSource &source, PeerHandler &peers,
                         ControlCounters &counters)
    : source(source)
    , peers(peers)
    , counters(counters)
{
    const auto body
        = [this, endpoint](std::promise<std::uint16_t> &ready) { this->run(endpoint, ready); };
    this->bound = {endpoint.host, startServer(this->thread, body)};
}

AgentServer::~AgentServer()
{
    this->stop();
}

void AgentServer::stop()
{
    this->stopping.store(true);
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

void AgentServer::run(const Endpoint &endpoint, std::promise<std::uint16_t> &ready)
{
    auto io = kj::setupAsyncIo();
    kj::Timer &timer = io.provider->getTimer();
    auto listener = bindListener(io, endpoint, ready);
    if (listener.get() == nullptr) {
        return;
    }
    try {
        const ControlConnections connections(kj::mv(listener), timer, this->source, this->peers,
                                             this->counters);
        while (!this->stopping.load()) {
            timer.afterDelay(StopPollPeriod).wait(io.waitScope);
        }
    } catch (const kj::Exception &error) {
        LogLine("rpc_listener_failed", LogLevel::Error).add("error", error.getDescription().cStr());
    }
}

} // namespace bronzeshed
