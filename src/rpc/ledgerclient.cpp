#include "rpc/ledgerclient.h"

#include "base/logline.h"
#include "rpc/ledgerconversion.h"
#include "rpc/wakeupstream.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

namespace bronzeshed {

namespace {

constexpr auto CallTimeout = LedgerCallTimeout.count() * kj::MILLISECONDS;

/** Sends one query on @p stream. */
kj::Promise<Resolution> sendOn(kj::Own<kj::AsyncIoStream> stream, const LedgerQuery &query)
{
    auto client = kj::heap<capnp::TwoPartyClient>(*stream);
    auto request = client->bootstrap().castAs<rpc::Ledger>().resolveRequest();
    request.setId(query.id.value());
    request.setDigest(query.digest);
    return request.send()
        .then([](auto &&response) { return readResolution(response.getResolution()); })
        .attach(kj::mv(client))
        .attach(kj::mv(stream));
}

/** The queries in flight. */
class LedgerQueries : private kj::TaskSet::ErrorHandler
{
public:
    LedgerQueries(kj::AsyncIoContext &io, EventRing<LedgerResult> &results)
        : network(io.provider->getNetwork())
        , timer(io.provider->getTimer())
        , results(results)
        , tasks(*this)
    {
    }

    void start(LedgerQuery query)
    {
        const CallId call = query.call;
        auto answer = this->network.parseAddress(query.owner.host, query.owner.port)
                          .then([](kj::Own<kj::NetworkAddress> address) {
                              auto connected = address->connect();
                              return connected.attach(kj::mv(address));
                          })
                          .then([query](kj::Own<kj::AsyncIoStream> stream) {
                              return sendOn(kj::mv(stream), query);
                          });
        this->tasks.add(this->timer.timeoutAfter(CallTimeout, kj::mv(answer))
                            .then(
                                [this, call](Resolution resolution) {
                                    this->report({call, std::move(resolution)});
                                },
                                [this, query = std::move(query)](kj::Exception &&error) {
                                    LogLine("ledger_query_failed", LogLevel::Warning)
                                        .add("owner", query.owner.toString())
                                        .add("error", error.getDescription().cStr());
                                    this->report({query.call, std::nullopt});
                                }));
    }

private:
    void report(LedgerResult result)
    {
        if (!this->results.tryPush(result)) {
            LogLine("ledger_result_lost", LogLevel::Error).add("call", result.call.value());
        }
    }

    void taskFailed(kj::Exception &&error) override
    {
        LogLine("ledger_query_failed", LogLevel::Error).add("error", error.getDescription().cStr());
    }

    kj::Network &network;
    kj::Timer &timer;
    EventRing<LedgerResult> &results;
    kj::TaskSet tasks;
};

} // namespace

LedgerClient::LedgerClient(EventRing<LedgerResult> &results)
    : results(results)
    , queries(MaxQueries, this->wakeup)
    , thread([this] { this->run(); })
{
}

LedgerClient::~LedgerClient()
{
    this->stop();
}

bool LedgerClient::sendQuery(LedgerQuery query)
{
    return this->queries.tryPush(query);
}

void LedgerClient::stop()
{
    this->stopping.store(true);
    this->wakeup.notify();
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

void LedgerClient::run()
{
    auto io = kj::setupAsyncIo();
    LedgerQueries running(io, this->results);
    WakeupStream wakeups(io, this->wakeup);
    while (!this->stopping.load()) {
        wakeups.wait().wait(io.waitScope);
        while (auto query = this->queries.tryPop()) {
            running.start(std::move(*query));
        }
    }
}

} // namespace bronzeshed
