#include "rpc/agentlink.h"

#include "base/logline.h"
#include "rpc/conversion.h"
#include "rpc/wakeupstream.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <optional>

namespace bronzeshed {

namespace {

constexpr auto CallTimeout = 3 * kj::SECONDS;
constexpr auto ReconnectDelay = 200 * kj::MILLISECONDS;

using WatchResponse = capnp::Response<rpc::Agent::WatchStateResults>;

void writeStatus(rpc::EntryReport::Builder report, const EntryStatus &status)
{
    report.setIncarnation(status.incarnation.value());
    writeEndpoint(report.initCallerEndpoint(), status.callerEndpoint);
    writeEndpoint(report.initLedgerEndpoint(), status.ledgerEndpoint);
    report.setLeaving(status.leaving);
    report.setActiveConfigVersion(status.activeConfigVersion.value());
}

} // namespace

AgentLink::AgentLink(const Endpoint &agent, ControlStateSink &sink, Wakeup &statusChanged)
    : agent(agent)
    , sink(sink)
    , statusChanged(statusChanged)
    , thread([this] { this->run(); })
{
}

AgentLink::~AgentLink()
{
    this->stop();
}

void AgentLink::stop()
{
    this->stopping.store(true);
    this->statusChanged.notify();
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

void AgentLink::run()
{
    auto io = kj::setupAsyncIo();
    while (!this->stopping.load()) {
        std::string errorText;
        try {
            this->runConnection(io);
            continue;
        } catch (const kj::Exception &error) {
            errorText = error.getDescription().cStr();
        } catch (const std::exception &error) {
            errorText = error.what();
        }
        LogLine("agent_link_lost", LogLevel::Warning)
            .add("agent", this->agent.toString())
            .add("error", errorText);
        io.provider->getTimer().afterDelay(ReconnectDelay).wait(io.waitScope);
    }
}

void AgentLink::runConnection(kj::AsyncIoContext &io)
{
    kj::Timer &timer = io.provider->getTimer();
    auto address = io.provider->getNetwork()
                       .parseAddress(this->agent.host, this->agent.port)
                       .wait(io.waitScope);
    auto stream = timer.timeoutAfter(CallTimeout, address->connect()).wait(io.waitScope);
    capnp::TwoPartyClient client(*stream);
    auto service = client.bootstrap().castAs<rpc::Agent>();
    // Sequence numbers are per agent process, and a new connection may reach a restarted agent.
    std::uint64_t lastSequence = 0;
    WakeupStream changes(io, this->statusChanged);
    while (!this->stopping.load()) {
        changes.clear();
        auto request = service.watchStateRequest();
        request.setLastSequence(lastSequence);
        writeStatus(request.initReport(), this->sink.status());
        // The age of the state counts from before the call, because this process may be paused
        // before it reads the response.
        const TimePoint sentAt = std::chrono::steady_clock::now();
        // A status change cancels the call, so that the next call reports it immediately.
        auto response
            = timer.timeoutAfter(CallTimeout, request.send())
                  .then([](WatchResponse &&received) {
                      return std::optional<WatchResponse>(kj::mv(received));
                  })
                  .exclusiveJoin(changes.wait().then([] { return std::optional<WatchResponse>(); }))
                  .wait(io.waitScope);
        if (!response) {
            continue;
        }
        const auto message = response->getState();
        const TimePoint confirmedAt
            = sentAt - std::chrono::milliseconds(message.getConfirmedAgeMs());
        if (message.getChanged()) {
            ControlState state = readControlState(message);
            lastSequence = state.sequence;
            this->sink.stateChanged(std::move(state), confirmedAt);
        } else {
            this->sink.stateConfirmed(confirmedAt);
        }
    }
}

} // namespace bronzeshed
