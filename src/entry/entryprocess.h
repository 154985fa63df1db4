#ifndef BRONZESHED_ENTRY_ENTRYPROCESS_H
#define BRONZESHED_ENTRY_ENTRYPROCESS_H

#include "base/program.h"
#include "base/stoppablethread.h"
#include "entry/decisionloop.h"
#include "metrics/adminport.h"
#include "rpc/agentlink.h"
#include "rpc/ledgerclient.h"
#include "rpc/ledgerserver.h"

#include <memory>

namespace bronzeshed {

/** Settings of an entry process. */
struct EntryOptions
{
    RegionName region;
    ZoneName zone;
    Endpoint callers;
    Endpoint agent;
    Endpoint ledger;
    Endpoint admin;
    std::chrono::milliseconds drainWindow{0};
};

/** Owns all threads of an entry and the event rings between them. */
class EntryProcess : private AdminSource
{
public:
    /** Starts all threads and listens for calls. @throws Error if an endpoint cannot be bound */
    explicit EntryProcess(const EntryOptions &options);
    ~EntryProcess() override;
    EntryProcess(const EntryProcess &) = delete;
    EntryProcess &operator=(const EntryProcess &) = delete;

    Endpoint callerEndpoint() const { return this->callers.localEndpoint(); }
    Endpoint adminEndpoint() const { return this->admin->localEndpoint(); }

    /** Processes queued metric events; must be called a few times a second. */
    void collectMetrics();

    /**
     * Reports the entry as leaving and keeps serving for the drain window. Then refuses new calls
     * and waits for those in flight.
     * @return false if a second signal ended the drain
     */
    bool drain(SignalMonitor &signals);

private:
    std::string metricsText() override;
    std::string notReadyReason() override { return this->decisions.notReadyReason(); }
    EntryStatus initialStatus(Incarnation incarnation) const;
    DecisionOptions decisionOptions(Incarnation incarnation) const;

    EntryOptions options;
    Wakeup wakeup;
    Wakeup statusChanged; ///< wakes the thread of the connection to the agent
    EventRing<CallerEvent> callerRing;
    EventRing<CallId> disconnectRing;
    EventRing<AttemptEvent> attemptRing;
    EventRing<ProbeEvent> probeRing;
    EventRing<IncomingLedgerQuery> ledgerQueryRing;
    EventRing<LedgerResult> ledgerResultRing;
    MetricsHub metrics;
    CallerPort callerPort;
    HttpServer callers;
    LedgerServer ledgerServer;
    LedgerClient ledgerClient;
    NativeUpstreamProtocol protocol;
    UpstreamPort upstreams;
    Incarnation incarnation;
    ControlInbox control;
    DecisionLoop decisions;
    StoppableThread decisionThread;
    std::unique_ptr<AgentLink> link;
    AdminPort adminPort;
    std::unique_ptr<HttpServer> admin;
};

} // namespace bronzeshed

#endif
