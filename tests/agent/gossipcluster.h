#ifndef BRONZESHED_TESTS_AGENT_GOSSIPCLUSTER_H
#define BRONZESHED_TESTS_AGENT_GOSSIPCLUSTER_H

#include "agent/gossip.h"

#include <memory>

namespace bronzeshed {

/** The message of an exchange that is lost. */
enum class Loss { None, Request, Answer, SyncAnswer };

/** Agent without sockets and threads. */
struct TestAgent
{
    TestAgent(const Clock &clock, unsigned index, std::uint64_t incarnation);

    void report(bool leaving = false);

    Endpoint endpoint;
    EntryStatus status;
    Wakeup wakeup;
    SeededRandom random;
    AgentState state;
    Gossip gossip;
    bool paused = false;
    unsigned side = 0; ///< side of a partition; messages between two sides are lost
};

/** Agents that gossip by direct calls, in the same order as the calls of PeerClient. */
class GossipCluster
{
public:
    explicit GossipCluster(unsigned size);

    void exchange(unsigned from, unsigned to, Loss loss = Loss::None);
    void pushUpdates(unsigned from, unsigned to);
    /** Advances the clock in steps. At each step, agents that are not paused receive the report of
     * their entry and tick. */
    void advanceTime(Duration time, Duration step);
    /** Runs one second's exchanges of an agent with its chosen peers, then pushes its updates. */
    void gossipRound(unsigned from);
    /** Restarts an agent without its state. @param withEntry gives its entry a new incarnation */
    void restart(unsigned index, bool withEntry);
    /** Ends all pauses and runs enough exchanges without losses for all agents to converge. */
    void converge();

    ManualClock clock;
    std::vector<std::unique_ptr<TestAgent>> agents;

private:
    bool canReach(const TestAgent &from, const TestAgent &to) const;

    std::uint64_t lastIncarnation = 0;
};

/** Returns the members that are not dead. */
std::vector<Member> withoutDead(std::vector<Member> members);

ConfigRecord makeRecord(std::uint64_t version);

} // namespace bronzeshed

#endif
