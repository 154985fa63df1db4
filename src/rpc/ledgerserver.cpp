#include "rpc/ledgerserver.h"

#include "base/logline.h"
#include "rpc/ledgerconversion.h"
#include "rpc/listener.h"
#include "rpc/wakeupstream.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <unordered_map>

namespace bronzeshed {

namespace {

/** Maximum number of pending queries. Further queries are rejected, which yields `unknown`. */
constexpr std::size_t MaxPendingQueries = 4096;

/** Holds the queries that wait for a reply of the decision thread. */
class LedgerService final : public rpc::Ledger::Server
{
public:
    explicit LedgerService(EventRing<IncomingLedgerQuery> &queries)
        : queries(queries)
    {
    }

    kj::Promise<void> resolve(ResolveContext context) override
    {
        if (this->pending.size() >= MaxPendingQueries) {
            return KJ_EXCEPTION(OVERLOADED, "too many questions are waiting");
        }
        const auto params = context.getParams();
        this->lastQueryId = this->lastQueryId.next();
        IncomingLedgerQuery query{this->lastQueryId, RequestId(params.getId().cStr()),
                                  params.getDigest()};
        if (!this->queries.tryPush(query)) {
            return KJ_EXCEPTION(OVERLOADED, "the ring to the decision thread is full");
        }
        auto pair = kj::newPromiseAndFulfiller<Resolution>();
        this->pending.emplace(this->lastQueryId, kj::mv(pair.fulfiller));
        return pair.promise.then([context](const Resolution &resolution) mutable {
            writeResolution(context.getResults().initResolution(), resolution);
        });
    }

    void deliver(LedgerReply reply)
    {
        const auto found = this->pending.find(reply.queryId);
        if (found != this->pending.end()) {
            found->second->fulfill(kj::mv(reply.resolution));
            this->pending.erase(found);
        }
    }

private:
    EventRing<IncomingLedgerQuery> &queries;
    IncomingQueryId lastQueryId;
    std::unordered_map<IncomingQueryId, kj::Own<kj::PromiseFulfiller<Resolution>>> pending;
};

} // namespace

LedgerServer::LedgerServer(const Endpoint &endpoint, EventRing<IncomingLedgerQuery> &queries)
    : queries(queries)
    , replies(MaxPendingQueries, this->wakeup)
{
    const auto body
        = [this, endpoint](std::promise<std::uint16_t> &ready) { this->run(endpoint, ready); };
    this->bound = {endpoint.host, startServer(this->thread, body)};
}

LedgerServer::~LedgerServer()
{
    this->stop();
}

void LedgerServer::reply(LedgerReply reply)
{
    // The ring has room for the replies to all pending queries.
    if (!this->replies.tryPush(reply)) {
        LogLine("ledger_reply_lost", LogLevel::Error).add("query", reply.queryId.value());
    }
}

void LedgerServer::stop()
{
    this->stopping.store(true);
    this->wakeup.notify();
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

void LedgerServer::run(const Endpoint &endpoint, std::promise<std::uint16_t> &ready)
{
    auto io = kj::setupAsyncIo();
    auto listener = bindListener(io, endpoint, ready);
    if (listener.get() == nullptr) {
        return;
    }
    auto owned = kj::heap<LedgerService>(this->queries);
    LedgerService &service = *owned;
    capnp::TwoPartyServer server(kj::mv(owned));
    auto serving = server.listen(*listener).eagerlyEvaluate([](kj::Exception &&error) {
        LogLine("rpc_listener_failed", LogLevel::Error).add("error", error.getDescription().cStr());
    });
    WakeupStream wakeups(io, this->wakeup);
    while (!this->stopping.load()) {
        wakeups.wait().wait(io.waitScope);
        while (auto reply = this->replies.tryPop()) {
            service.deliver(std::move(*reply));
        }
    }
}

} // namespace bronzeshed
