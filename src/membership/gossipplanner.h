#ifndef BRONZESHED_MEMBERSHIP_GOSSIPPLANNER_H
#define BRONZESHED_MEMBERSHIP_GOSSIPPLANNER_H

#include "base/random.h"
#include "membership/controlstate.h"

#include <vector>

namespace bronzeshed {

/** Peers called each second to compare digests. */
constexpr std::size_t ExchangePeers = 2;
/** Peers to which news is pushed; 3 reach 60 members in 3 to 4 rounds. */
constexpr std::size_t PushPeers = 3;
/** Every how many rounds an address outside the live members is called as well. */
constexpr unsigned ProbeRounds = 5;

/** Chooses the peers to call. Not thread-safe. */
class GossipPlanner
{
public:
    explicit GossipPlanner(Random &random);

    /**
     * Peers of one round: members that are not dead, in shuffled round-robin order, or seeds if no
     * member is known. Every fifth round adds one seed or dead member that is no live member:
     * after a partition, both sides know only their own members and must find each other again.
     * @param others all known members but the own one
     * @param seeds agents of the instance list but the own one
     */
    std::vector<Endpoint> exchangeTargets(const std::vector<Member> &others,
                                          const std::vector<Endpoint> &seeds);

    /** Random peers for a push; seeds if no member is known. */
    std::vector<Endpoint> pushTargets(const std::vector<Member> &others,
                                      const std::vector<Endpoint> &seeds);

    /**
     * The next round calls this peer again, so that a peer that lost one call learns of the
     * suspicion from the agent that raised it, well before it would be dead.
     */
    void callAgain(const Endpoint &peer);

private:
    void shuffle(std::vector<Endpoint> &endpoints);

    Random &random;
    std::vector<Endpoint> order; ///< peers left in this pass, the next one last
    std::vector<Endpoint> again;
    unsigned round = 0;
    std::size_t nextProbe = 0;
};

} // namespace bronzeshed

#endif
