#ifndef BRONZESHED_MEMBERSHIP_GOSSIPPLANNER_H
#define BRONZESHED_MEMBERSHIP_GOSSIPPLANNER_H

#include "base/random.h"
#include "membership/controlstate.h"

#include <vector>

namespace bronzeshed {

/** Number of peers that are called each second to compare digests. */
constexpr std::size_t ExchangeFanout = 2;
/** Number of peers to which an update is pushed; 3 reach 60 members in 3 to 4 rounds. */
constexpr std::size_t PushFanout = 3;
/** Number of rounds after which an address outside the regular targets is called as well. */
constexpr unsigned RoundsPerProbe = 5;

/** Selects the peers to call in each gossip round. Not thread-safe. */
class GossipPlanner
{
public:
    explicit GossipPlanner(Random &random);

    /**
     * Returns the peers for one round: members that are not dead, in shuffled round-robin order, or
     * seeds if there is no such member. Every fifth round adds the agent of a dead member or a seed
     * outside these members. After a partition each side lists only its own members as live, and
     * this call lets both sides find each other again.
     * @param others all members except the own one
     * @param seeds agents of the instance list except the own one
     */
    std::vector<Endpoint> exchangeTargets(const std::vector<Member> &others,
                                          const std::vector<Endpoint> &seeds);

    /** Returns random peers for a push, or seeds if all members are dead or there are none. */
    std::vector<Endpoint> pushTargets(const std::vector<Member> &others,
                                      const std::vector<Endpoint> &seeds);

    /**
     * Adds this peer to the next round. A peer that missed one call then receives the suspicion
     * from the agent that raised it, and can refute it well before it is declared dead.
     */
    void retryNextRound(const Endpoint &peer);

private:
    void shuffle(std::vector<Endpoint> &endpoints);

    Random &random;
    std::vector<Endpoint> pending; ///< peers left in this pass; the last one is called next
    std::vector<Endpoint> retries; ///< peers to call in the next round after a failed call
    unsigned round = 0;
    std::size_t nextProbe = 0;
};

} // namespace bronzeshed

#endif
