#ifndef BRONZESHED_TESTS_AGENT_GOSSIPCLUSTER_H
#define BRONZESHED_TESTS_AGENT_GOSSIPCLUSTER_H

#include "agent/gossip.h"

#include <memory>

namespace bronzeshed {

/** Where a message of an exchange is lost. */
enum class Loss { None, Request, Answer, SyncAnswer };

/** One agent without sockets or threads. */
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
    unsigned side = 0; ///< of a partition; messages between two sides are lost
};

/** Agents that exchange by direct calls, in the order of the calls of PeerClient. */
class GossipCluster
{
public:
    explicit GossipCluster(unsigned size);

    void exchange(unsigned from, unsigned to, Loss loss = Loss::None);
    void pushNews(unsigned from, unsigned to);
    /** Moves the time in steps; agents that are not paused tick and hear from their entries. */
    void pass(Duration time, Duration step);
    /** One second's exchanges of an agent with the peers that it chooses, then its news. */
    void gossipRound(unsigned from);
    void restart(unsigned index, bool entryToo);
    /** Ends all pauses and lets all agents exchange without losses. */
    void settle();

    ManualClock clock;
    std::vector<std::unique_ptr<TestAgent>> agents;

private:
    bool reaches(const TestAgent &from, const TestAgent &to) const;

    std::uint64_t lastIncarnation = 0;
};

/** The members that are not dead. */
std::vector<Member> withoutDead(std::vector<Member> members);

ConfigRecord makeRecord(std::uint64_t version);

} // namespace bronzeshed

#endif
