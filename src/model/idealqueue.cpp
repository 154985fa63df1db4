#include "model/idealqueue.h"

namespace bronzeshed {

IdealQueue::IdealQueue(ModelWorld &world, EndCallback ended)
    : world(world)
    , ended(std::move(ended))
{
}

void IdealQueue::arrive(const ModelCall &call)
{
    this->world.deliver([this, call] {
        this->waiting.push_back(call);
        this->startWaiting();
    });
}

ModelServer *IdealQueue::freeServer()
{
    ModelServer *best = nullptr;
    for (const auto &server : this->world.servers) {
        if (server->hasFreeSlot() && (best == nullptr || server->load() < best->load())) {
            best = server.get();
        }
    }
    return best;
}

void IdealQueue::startWaiting()
{
    while (!this->waiting.empty()) {
        const ModelCall call = this->waiting.front();
        const Duration waited = this->world.clock.now() - call.arrival;
        if (waited >= call.target->deadline) {
            this->waiting.pop_front();
            this->ended(call, Outcome::NotRun);
            continue;
        }
        ModelServer *server = this->freeServer();
        if (server == nullptr) {
            return;
        }
        this->waiting.pop_front();
        server->submit(call.work, [this, call](bool) {
            this->world.deliver([this, call] { this->ended(call, Outcome::Answered); });
            this->startWaiting();
        });
    }
}

} // namespace bronzeshed
