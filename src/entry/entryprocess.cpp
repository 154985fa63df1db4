#include "entry/entryprocess.h"

#include "base/logline.h"

namespace bronzeshed {

namespace {

constexpr std::size_t MaxCalls = 4096;
/** A call has at most an attempt and its hedge in flight. */
constexpr std::size_t MaxAttemptsPerCall = 2;
constexpr std::size_t MaxProbes = 1024;
constexpr std::size_t MaxMetricEvents = 16384;
constexpr std::chrono::milliseconds PollPeriod{100};
/** Exceeds the longest deadline of a call, which is 10 minutes. */
constexpr std::chrono::minutes MaxInFlightWait{11};

Incarnation firstIncarnation()
{
    SeededRandom random = makeSystemRandom();
    return makeIncarnation(wallClockMs(), random);
}

} // namespace

EntryProcess::EntryProcess(const EntryOptions &given)
    : options(given)
    , callerRing(MaxCalls, wakeup)
    , disconnectRing(MaxCalls, wakeup)
    , attemptRing(MaxCalls * MaxAttemptsPerCall, wakeup)
    , probeRing(MaxProbes, wakeup)
    , ledgerQueryRing(MaxCalls, wakeup)
    , ledgerResultRing(LedgerClient::MaxQueries, wakeup)
    , metrics(MaxMetricEvents)
    , callerPort(callerRing, disconnectRing)
    , callers(given.callers, HttpLimits{}, callerPort)
    , ledgerServer(given.ledger, ledgerQueryRing)
    , ledgerClient(ledgerResultRing)
    , upstreams(ConnectionPoolLimits{}, attemptRing, probeRing, protocol)
    , incarnation(firstIncarnation())
    , control(this->initialStatus(incarnation), wakeup, statusChanged)
    , decisions(this->decisionOptions(incarnation),
                {wakeup, callerRing, disconnectRing, attemptRing, ledgerQueryRing, ledgerResultRing,
                 control, upstreams, ledgerServer, ledgerClient, probeRing, metrics})
    , decisionThread([this] { this->decisions.run(); }, [this] { this->decisions.stop(); })
    , link(std::make_unique<AgentLink>(given.agent, control, statusChanged))
    , adminPort(*this)
    , admin(std::make_unique<HttpServer>(given.admin, HttpLimits{}, adminPort))
{
}

EntryProcess::~EntryProcess()
{
    this->admin->stop();
    this->link->stop();
    this->callers.stop();
    this->decisionThread.stop();
    this->ledgerServer.stop();
    this->ledgerClient.stop();
    this->upstreams.stop();
}

EntryStatus EntryProcess::initialStatus(Incarnation own) const
{
    EntryStatus status;
    status.incarnation = own;
    status.callerEndpoint = this->callers.localEndpoint();
    status.ledgerEndpoint = this->ledgerServer.localEndpoint();
    return status;
}

DecisionOptions EntryProcess::decisionOptions(Incarnation own) const
{
    DecisionOptions decision;
    decision.dispatcher.region = this->options.region;
    decision.dispatcher.zone = this->options.zone;
    decision.dispatcher.maxCalls = MaxCalls;
    decision.incarnation = own;
    return decision;
}

void EntryProcess::collectMetrics()
{
    this->metrics.drain(std::chrono::steady_clock::now());
}

std::string EntryProcess::metricsText()
{
    this->collectMetrics();
    return this->metrics.render();
}

bool EntryProcess::drain(SignalMonitor &signals)
{
    const auto waitUntil = [&](Duration limit, const auto &done) {
        const TimePoint end = std::chrono::steady_clock::now() + limit;
        while (!done() && std::chrono::steady_clock::now() < end) {
            this->collectMetrics();
            if (signals.wait(PollPeriod) != StopRequest::None) {
                return false;
            }
        }
        return true;
    };
    LogLine("drain_started").add("window_ms", this->options.drainWindow.count());
    this->control.setLeaving();
    this->callers.startDraining();
    bool graceful = waitUntil(this->options.drainWindow, [] { return false; });
    if (graceful) {
        this->decisions.refuseNewWork();
        graceful = waitUntil(MaxInFlightWait, [this] {
            return this->decisions.openCalls() == 0 && this->callers.pendingRequests() == 0;
        });
    }
    LogLine("drain_ended")
        .add("open_calls", this->decisions.openCalls())
        .add("immediate", !graceful);
    return graceful;
}

} // namespace bronzeshed
