#ifndef BRONZESHED_AGENT_GOSSIP_H
#define BRONZESHED_AGENT_GOSSIP_H

#include "agent/agentstate.h"
#include "membership/gossipplanner.h"

namespace bronzeshed {

/** Connects the peer server and the peer client to the state of the agent. */
class Gossip : public PeerHandler, public GossipSource
{
public:
    /** @param random source of randomness, used on the thread of the peer client only */
    Gossip(AgentState &state, Random &random);

    PeerDigest exchange(const PeerDigest &digest) override;
    PeerUpdate sync(const PeerUpdate &update, const PeerDigest &digest) override;
    void push(const PeerUpdate &update) override;

    std::vector<Endpoint> exchangeTargets() override;
    std::vector<Endpoint> pushTargets() override;
    PeerUpdate takeUpdates() override;
    PeerDigest digest() override;
    bool needsSync(const PeerDigest &theirs) override;
    PeerUpdate updateFor(const PeerDigest &theirs) override;
    void merge(const PeerUpdate &update) override;
    void peerAnswered(const Endpoint &peer, TimePoint sentAt) override;
    void peerFailed(const Endpoint &peer) override;

private:
    void mergeSender(const PeerDigest &digest);

    AgentState &state;
    GossipPlanner planner;
};

} // namespace bronzeshed

#endif
