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

/** Questions and replies under way at most. More questions are refused, which is `unknown`. */
constexpr std::size_t MaxQuestions = 4096;

/** Questions that wait for the reply of the decision thread. */
class LedgerService final : public rpc::Ledger::Server
{
public:
    explicit LedgerService(EventRing<LedgerQuestion> &questions)
        : questions(questions)
    {
    }

    kj::Promise<void> resolve(ResolveContext context) override
    {
        if (this->waiting.size() >= MaxQuestions) {
            return KJ_EXCEPTION(OVERLOADED, "too many questions are waiting");
        }
        const auto params = context.getParams();
        this->last = this->last.next();
        LedgerQuestion question{this->last, RequestId(params.getId().cStr()), params.getDigest()};
        if (!this->questions.tryPush(question)) {
            return KJ_EXCEPTION(OVERLOADED, "the ring to the decision thread is full");
        }
        auto pair = kj::newPromiseAndFulfiller<Resolution>();
        this->waiting.emplace(this->last, kj::mv(pair.fulfiller));
        return pair.promise.then([context](const Resolution &resolution) mutable {
            writeResolution(context.getResults().initResolution(), resolution);
        });
    }

    void deliver(LedgerReply reply)
    {
        const auto found = this->waiting.find(reply.question);
        if (found != this->waiting.end()) {
            found->second->fulfill(kj::mv(reply.resolution));
            this->waiting.erase(found);
        }
    }

private:
    EventRing<LedgerQuestion> &questions;
    LedgerQuestionId last;
    std::unordered_map<LedgerQuestionId, kj::Own<kj::PromiseFulfiller<Resolution>>> waiting;
};

} // namespace

LedgerServer::LedgerServer(const Endpoint &endpoint, EventRing<LedgerQuestion> &questions)
    : questions(questions)
    , replies(MaxQuestions, this->wakeup)
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
    // The ring holds the reply to every question that may be waiting.
    if (!this->replies.tryPush(reply)) {
        LogLine("ledger_reply_lost", LogLevel::Error).add("question", reply.question.value());
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
    auto owned = kj::heap<LedgerService>(this->questions);
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
