#include "model/modelentry.h"

namespace bronzeshed {

namespace {

constexpr std::chrono::milliseconds ProbeWork{6};
constexpr unsigned StatusOk = 200;

DispatcherOptions makeOptions(const ModelOptions &options)
{
    DispatcherOptions result;
    result.slotsPerUpstream = options.slots;
    return result;
}

} // namespace

ModelEntry::ModelEntry(ModelWorld &world, ModelResult &result,
                       std::unique_ptr<SelectionPolicy> policy, std::uint64_t seed,
                       EndCallback ended)
    : world(world)
    , result(result)
    , random(seed)
    , ended(std::move(ended))
    , dispatcher(world.clock, this->random, world.timers, *this, std::move(policy),
                 makeOptions(world.options))
{
    this->update();
}

void ModelEntry::update()
{
    this->dispatcher.update(this->world.declaration, this->world.upstreams());
}

void ModelEntry::arrive(const ModelCall &call)
{
    this->calls.emplace(call.id, call);
    CallRequest request;
    request.id = call.id;
    request.className = call.target->name;
    request.timeLeft = call.target->deadline;
    this->dispatcher.admit(request);
}

void ModelEntry::startAttempt(const AttemptOrder &order)
{
    if (order.hedge) {
        ++this->result.hedges;
    } else if (this->attemptsOfCall[order.call]++ > 0) {
        ++this->result.retries;
    }
    const std::size_t index = std::stoul(order.upstream.id.value());
    this->attempts.emplace(order.attempt, OpenAttempt{this->world.servers[index].get(), {}});
    const Duration work = this->world.options.redrawWork ? this->world.drawWork(this->random)
                                                         : this->calls.at(order.call).work;
    this->world.deliver([this, id = order.attempt, work] { this->receive(id, work); });
}

void ModelEntry::receive(AttemptId id, Duration work)
{
    const auto found = this->attempts.find(id);
    if (found == this->attempts.end()) {
        return;
    }
    // A server that fails fast calls back before submit() returns.
    const JobId job = found->second.server->submit(work, [this, id](bool failed) {
        this->world.deliver([this, id, failed] {
            this->reply(id, failed ? AttemptStatus::Failed : AttemptStatus::Answered);
        });
    });
    found->second.job = job;
}

void ModelEntry::reply(AttemptId id, AttemptStatus status)
{
    const auto found = this->attempts.find(id);
    if (found == this->attempts.end()) {
        return;
    }
    AttemptReport report;
    report.status = status;
    report.httpStatus = status == AttemptStatus::Answered ? StatusOk : 0;
    report.load = LoadReport{static_cast<unsigned>(found->second.server->load())};
    this->attempts.erase(found);
    this->dispatcher.attemptEnded(id, report);
}

void ModelEntry::cancelAttempt(AttemptId id)
{
    // The connection closes at this side at once and at the server after the network delay.
    const OpenAttempt attempt = this->attempts.at(id);
    this->attempts.erase(id);
    this->world.deliver([attempt] {
        if (attempt.job) {
            attempt.server->cancel(*attempt.job);
        }
    });
    this->world.timers.once(this->world.clock.now(), [this, id](TimePoint) {
        AttemptReport report;
        report.status = AttemptStatus::Cancelled;
        this->dispatcher.attemptEnded(id, report);
    });
}

bool ModelEntry::startProbe(const ProbeOrder &order)
{
    ++this->result.probes;
    ModelServer *server = this->world.servers[std::stoul(order.upstream.id.value())].get();
    this->world.deliver([this, server, id = order.upstream.id] {
        server->submit(ProbeWork, [this, id](bool failed) {
            this->world.deliver([this, id, failed] { this->dispatcher.probeEnded(id, !failed); });
        });
    });
    return true;
}

void ModelEntry::finishCall(CallId id, Outcome outcome, Reason /*reason*/, AttemptId /*winner*/)
{
    const ModelCall call = this->calls.at(id);
    this->calls.erase(id);
    this->attemptsOfCall.erase(id);
    this->ended(call, outcome);
}

} // namespace bronzeshed
