#include "rpc/controlservice.h"

#include "rpc/conversion.h"

namespace bronzeshed {

namespace {

constexpr std::chrono::milliseconds WatchLimit{1000};
constexpr auto PollPeriod = 20 * kj::MILLISECONDS;

EntryStatus readStatus(rpc::EntryReport::Reader report)
{
    EntryStatus status;
    status.incarnation = Incarnation(report.getIncarnation());
    status.callerEndpoint = readEndpoint(report.getCallerEndpoint());
    status.ledgerEndpoint = readEndpoint(report.getLedgerEndpoint());
    status.leaving = report.getLeaving();
    status.activeConfigVersion = ConfigVersion(report.getActiveConfigVersion());
    return status;
}

} // namespace

ControlService::ControlService(ControlStateSource &source, PeerHandler &peers,
                               ControlCounters &counters, kj::Timer &timer,
                               std::function<void()> onEntryCall)
    : source(source)
    , peers(peers)
    , counters(counters)
    , timer(timer)
    , onEntryCall(std::move(onEntryCall))
{
}

kj::Promise<void> ControlService::watchState(WatchStateContext context)
{
    this->onEntryCall();
    this->source.entryReported(readStatus(context.getParams().getReport()));
    // Cancels the wait when the entry disconnects.
    context.allowCancellation();
    return this->waitForChange(context, std::chrono::steady_clock::now() + WatchLimit);
}

kj::Promise<void> ControlService::waitForChange(WatchStateContext context, TimePoint limit)
{
    const std::uint64_t lastSequence = context.getParams().getLastSequence();
    const bool changed = this->source.currentSequence() != lastSequence;
    if (changed || std::chrono::steady_clock::now() >= limit) {
        const ControlState state = this->source.currentState();
        auto message = context.getResults().initState();
        if (changed) {
            writeControlState(message, state);
        } else {
            message.setConfirmedAgeMs(ageToMessage(state.confirmedAge));
        }
        return kj::READY_NOW;
    }
    return this->timer.afterDelay(PollPeriod).then([this, context, limit]() mutable {
        return this->waitForChange(context, limit);
    });
}

kj::Promise<void> ControlService::exchange(ExchangeContext context)
{
    this->counters.count(ControlMessage::ExchangeReceived);
    const PeerDigest callerDigest = readDigest(context.getParams().getDigest());
    writeDigest(context.getResults().initDigest(), this->peers.exchange(callerDigest));
    return kj::READY_NOW;
}

kj::Promise<void> ControlService::sync(SyncContext context)
{
    this->counters.count(ControlMessage::SyncReceived);
    const auto params = context.getParams();
    const PeerDigest callerDigest = readDigest(params.getDigest());
    writeUpdate(context.getResults(), this->peers.sync(readUpdate(params), callerDigest));
    return kj::READY_NOW;
}

kj::Promise<void> ControlService::push(PushContext context)
{
    this->counters.count(ControlMessage::PushReceived);
    this->peers.push(readUpdate(context.getParams()));
    return kj::READY_NOW;
}

} // namespace bronzeshed
