#include "rpc/controlconnections.h"

#include "base/logline.h"
#include "rpc/controlservice.h"
#include "rpc/countingstream.h"

#include <capnp/rpc-twoparty.h>

namespace bronzeshed {

namespace {

/** Further connections are closed immediately. A fleet of 60 agents and one entry needs 61. */
constexpr std::size_t MaxConnections = 512;
constexpr auto AcceptRetryDelay = 100 * kj::MILLISECONDS;

/** A connection that another agent or the own entry has opened. */
class Connection
{
public:
    Connection(kj::Own<kj::AsyncIoStream> stream, ControlStateSource &source, PeerHandler &peers,
               ControlCounters &counters, kj::Timer &timer)
        : source(source)
        , stream(kj::mv(stream), counters)
        , network(this->stream, capnp::rpc::twoparty::Side::SERVER)
        , system(capnp::makeRpcServer(this->network,
                                      kj::heap<ControlService>(source, peers, counters, timer,
                                                               [this] { this->onEntryCall(); })))
    {
    }
    ~Connection()
    {
        if (this->servesEntry) {
            this->source.entryLinkClosed();
        }
    }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    kj::Promise<void> whenClosed() { return this->network.onDisconnect(); }

private:
    void onEntryCall()
    {
        if (!this->servesEntry) {
            this->servesEntry = true;
            this->stream.stopCounting();
            this->source.entryLinkOpened();
        }
    }

    ControlStateSource &source;
    bool servesEntry = false;
    CountingStream stream;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> system;
};

} // namespace

ControlConnections::ControlConnections(kj::Own<kj::ConnectionReceiver> listener, kj::Timer &timer,
                                       ControlStateSource &source, PeerHandler &peers,
                                       ControlCounters &counters)
    : listener(kj::mv(listener))
    , timer(timer)
    , source(source)
    , peers(peers)
    , counters(counters)
    , tasks(*this)
{
    this->tasks.add(this->acceptLoop());
}

kj::Promise<void> ControlConnections::acceptLoop()
{
    return this->listener->accept()
        .then([this](kj::Own<kj::AsyncIoStream> &&stream) { this->serve(kj::mv(stream)); })
        .catch_([this](kj::Exception &&error) -> kj::Promise<void> {
            // accept() fails, for instance, when the process has no free file descriptor. The port
            // must stay open, so accepting continues after a delay.
            this->taskFailed(kj::mv(error));
            return this->timer.afterDelay(AcceptRetryDelay);
        })
        .then([this] { return this->acceptLoop(); });
}

void ControlConnections::serve(kj::Own<kj::AsyncIoStream> stream)
{
    if (this->connectionCount >= MaxConnections) {
        return;
    }
    enableKeepAlive(*stream);
    auto connection = kj::heap<Connection>(kj::mv(stream), this->source, this->peers,
                                           this->counters, this->timer);
    ++this->connectionCount;
    auto closed = connection->whenClosed();
    this->tasks.add(
        closed.attach(kj::mv(connection), kj::defer([this] { --this->connectionCount; })));
}

void ControlConnections::taskFailed(kj::Exception &&error)
{
    LogLine("rpc_connection_failed", LogLevel::Warning).add("error", error.getDescription().cStr());
}

} // namespace bronzeshed
