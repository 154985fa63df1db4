#include "gossipcluster.h"

namespace bronzeshed {

namespace {

constexpr unsigned FirstPort = 1000;

AgentIdentity identityOf(unsigned index)
{
    return {InstanceId("i" + std::to_string(index)), RegionName("r"), ZoneName("z")};
}

} // namespace

TestAgent::TestAgent(const Clock &clock, unsigned index, std::uint64_t incarnation)
    : endpoint{"10.0.0.1", static_cast<std::uint16_t>(FirstPort + index)}
    , random(index)
    , state(clock, identityOf(index), this->wakeup)
    , gossip(this->state, this->random)
{
    this->status.incarnation = Incarnation(incarnation);
    this->status.callerEndpoint = {"10.0.0.1", static_cast<std::uint16_t>(2000 + index)};
    this->state.setAgentEndpoint(this->endpoint);
    this->state.entryLinkOpened();
    this->report();
}

void TestAgent::report(bool leaving)
{
    this->status.leaving = leaving;
    this->state.entryReported(this->status);
}

GossipCluster::GossipCluster(unsigned size)
{
    for (unsigned i = 0; i < size; ++i) {
        this->agents.push_back(
            std::make_unique<TestAgent>(this->clock, i, ++this->lastIncarnation));
    }
}

void GossipCluster::exchange(unsigned from, unsigned to, Loss loss)
{
    TestAgent &caller = *this->agents[from];
    TestAgent &callee = *this->agents[to];
    if (from == to || caller.paused) {
        return;
    }
    const TimePoint sentAt = this->clock.now();
    if (loss == Loss::Request || !this->canReach(caller, callee)) {
        caller.gossip.peerFailed(callee.endpoint);
        return;
    }
    const PeerDigest peerDigest = callee.gossip.exchange(caller.gossip.digest());
    if (loss == Loss::Answer) {
        caller.gossip.peerFailed(callee.endpoint);
        return;
    }
    if (caller.gossip.needsSync(peerDigest)) {
        const PeerUpdate update = caller.gossip.updateFor(peerDigest);
        const PeerUpdate reply = callee.gossip.sync(update, caller.gossip.digest());
        if (loss == Loss::SyncAnswer) {
            caller.gossip.peerFailed(callee.endpoint);
            return;
        }
        caller.gossip.merge(reply);
    }
    caller.gossip.peerAnswered(callee.endpoint, sentAt);
}

void GossipCluster::pushUpdates(unsigned from, unsigned to)
{
    const PeerUpdate updates = this->agents[from]->gossip.takeUpdates();
    if (from != to && !updates.isEmpty() && !this->agents[to]->paused) {
        this->agents[to]->gossip.push(updates);
    }
}

bool GossipCluster::canReach(const TestAgent &from, const TestAgent &to) const
{
    return !to.paused && from.side == to.side;
}

void GossipCluster::gossipRound(unsigned from)
{
    TestAgent &agent = *this->agents[from];
    for (const Endpoint &peer : agent.gossip.exchangeTargets()) {
        this->exchange(from, peer.port - FirstPort);
    }
    const PeerUpdate updates = agent.gossip.takeUpdates();
    for (const Endpoint &peer : agent.gossip.pushTargets()) {
        TestAgent &target = *this->agents[peer.port - FirstPort];
        if (!updates.isEmpty() && this->canReach(agent, target)) {
            target.gossip.push(updates);
        }
    }
}

void GossipCluster::advanceTime(Duration time, Duration step)
{
    for (Duration passed{}; passed < time; passed += step) {
        this->clock.advance(step);
        for (const auto &agent : this->agents) {
            if (!agent->paused) {
                agent->report();
                agent->state.tick();
            }
        }
    }
}

void GossipCluster::restart(unsigned index, bool withEntry)
{
    const std::uint64_t former = this->agents[index]->status.incarnation.value();
    const std::uint64_t incarnation = withEntry ? ++this->lastIncarnation : former;
    const unsigned side = this->agents[index]->side;
    this->agents[index] = std::make_unique<TestAgent>(this->clock, index, incarnation);
    this->agents[index]->side = side;
}

void GossipCluster::converge()
{
    constexpr unsigned Rounds = 10;
    const auto size = static_cast<unsigned>(this->agents.size());
    for (const auto &agent : this->agents) {
        agent->paused = false;
    }
    for (unsigned round = 0; round < Rounds; ++round) {
        this->advanceTime(std::chrono::seconds(1), std::chrono::milliseconds(500));
        for (unsigned from = 0; from < size; ++from) {
            this->exchange(from, (from + 1 + round % (size - 1)) % size);
        }
    }
}

std::vector<Member> withoutDead(std::vector<Member> members)
{
    std::erase_if(members, [](const Member &member) { return member.state == MemberState::Dead; });
    return members;
}

ConfigRecord makeRecord(std::uint64_t version)
{
    ConfigRecord record;
    record.version = ConfigVersion(version);
    record.writeId = "w" + std::to_string(version);
    return record;
}

} // namespace bronzeshed
