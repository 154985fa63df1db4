#ifndef BRONZESHED_AGENT_GOSSIP_H
#define BRONZESHED_AGENT_GOSSIP_H

#include "agent/agentstate.h"
#include "membership/gossipplanner.h"

namespace bronzeshed {

/** Answers peers and tells the peer client what to send, from the agent's state. */
class Gossip : public PeerHandler, public GossipSource
{
public:
    /** @param random used on the peer client's thread only */
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
