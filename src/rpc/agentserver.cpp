#include "rpc/agentserver.h"

#include "base/error.h"
#include "base/logline.h"
#include "rpc/conversion.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

namespace bronzeshed {

namespace {

constexpr std::chrono::milliseconds WatchLimit{1000};
constexpr auto PollPeriod = 20 * kj::MILLISECONDS;
constexpr auto StopPollPeriod = 50 * kj::MILLISECONDS;

EntryStatus readStatus(rpc::EntryReport::Reader report)
{
    EntryStatus status;
    status.incarnation = Incarnation(report.getIncarnation());
    status.callerEndpoint = readEndpoint(report.getCallerEndpoint());
    status.ledgerEndpoint = readEndpoint(report.getLedgerEndpoint());
    status.leaving = report.getLeaving();
    status.configVersionInForce = ConfigVersion(report.getConfigVersionInForce());
    return status;
}

/** Serves one entry. */
class AgentService final : public rpc::Agent::Server
{
public:
    AgentService(ControlStateSource &source, kj::Timer &timer)
        : source(source)
        , timer(timer)
    {
    }

    kj::Promise<void> watchState(WatchStateContext context) override
    {
        this->source.entryReported(readStatus(context.getParams().getReport()));
        const TimePoint limit = std::chrono::steady_clock::now() + WatchLimit;
        return this->waitForChange(context, limit);
    }

private:
    kj::Promise<void> waitForChange(WatchStateContext context, TimePoint limit)
    {
        const std::uint64_t known = context.getParams().getKnownSequence();
        const bool changed = this->source.currentSequence() != known;
        if (changed || std::chrono::steady_clock::now() >= limit) {
            const ControlState state = this->source.currentState();
            auto message = context.getResults().initState();
            if (changed) {
                writeControlState(message, state);
            } else {
                const auto age
                    = std::chrono::duration_cast<std::chrono::milliseconds>(state.confirmedAge);
                message.setConfirmedAgeMs(static_cast<std::uint32_t>(age.count()));
            }
            return kj::READY_NOW;
        }
        return this->timer.afterDelay(PollPeriod).then([this, context, limit]() mutable {
            return this->waitForChange(context, limit);
        });
    }

    ControlStateSource &source;
    kj::Timer &timer;
};

} // namespace

AgentServer::AgentServer(const Endpoint &endpoint, ControlStateSource &source)
    : source(source)
{
    std::promise<std::uint16_t> ready;
    auto port = ready.get_future();
    this->thread = std::thread([this, endpoint, &ready] { this->run(endpoint, ready); });
    try {
        this->bound = {endpoint.host, port.get()};
    } catch (const Error &) {
        this->thread.join();
        throw;
    }
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
    kj::Own<kj::ConnectionReceiver> listener;
    try {
        auto address = io.provider->getNetwork().parseAddress(endpoint.host, endpoint.port);
        listener = address.wait(io.waitScope)->listen();
        ready.set_value(static_cast<std::uint16_t>(listener->getPort()));
    } catch (const kj::Exception &error) {
        ready.set_exception(std::make_exception_ptr(
            Error("cannot listen on " + endpoint.toString() + ": " + error.getDescription().cStr(),
                  "choose a free address and port of this instance")));
        return;
    }
    capnp::TwoPartyServer server(kj::heap<AgentService>(this->source, timer));
    auto serving = server.listen(*listener).eagerlyEvaluate([](kj::Exception &&error) {
        LogLine("rpc_listener_failed", LogLevel::Error).add("error", error.getDescription().cStr());
    });
    while (!this->stopping.load()) {
        timer.afterDelay(StopPollPeriod).wait(io.waitScope);
    }
}

} // namespace bronzeshed
