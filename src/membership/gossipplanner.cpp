#include "membership/gossipplanner.h"

#include <algorithm>

namespace bronzeshed {

namespace {

bool contains(const std::vector<Endpoint> &endpoints, const Endpoint &endpoint)
{
    return std::find(endpoints.begin(), endpoints.end(), endpoint) != endpoints.end();
}

void addUnique(std::vector<Endpoint> &endpoints, const Endpoint &endpoint)
{
    if (!contains(endpoints, endpoint)) {
        endpoints.push_back(endpoint);
    }
}

/** Returns the agents of all members that are not dead, or the seeds if there are none. */
std::vector<Endpoint> regularTargets(const std::vector<Member> &others,
                                     const std::vector<Endpoint> &seeds)
{
    std::vector<Endpoint> targets;
    for (const Member &member : others) {
        if (member.state != MemberState::Dead) {
            addUnique(targets, member.agentEndpoint);
        }
    }
    if (targets.empty()) {
        for (const Endpoint &seed : seeds) {
            addUnique(targets, seed);
        }
    }
    return targets;
}

} // namespace

GossipPlanner::GossipPlanner(Random &random)
    : random(random)
{
}

std::vector<Endpoint> GossipPlanner::exchangeTargets(const std::vector<Member> &others,
                                                     const std::vector<Endpoint> &seeds)
{
    const std::vector<Endpoint> regular = regularTargets(others, seeds);
    std::vector<Endpoint> chosen;
    for (const Endpoint &peer : std::exchange(this->retries, {})) {
        if (chosen.size() < ExchangeFanout && contains(regular, peer)) {
            chosen.push_back(peer);
        }
    }
    const std::size_t targetCount = std::min(ExchangeFanout, regular.size());
    while (chosen.size() < targetCount) {
        if (this->pending.empty()) {
            this->pending = regular;
            this->shuffle(this->pending);
        }
        const Endpoint next = this->pending.back();
        this->pending.pop_back();
        if (contains(regular, next)) {
            addUnique(chosen, next);
        }
    }
    if (++this->round % RoundsPerProbe != 0) {
        return chosen;
    }
    std::vector<Endpoint> probeTargets;
    for (const Endpoint &seed : seeds) {
        if (!contains(regular, seed)) {
            addUnique(probeTargets, seed);
        }
    }
    for (const Member &member : others) {
        if (!contains(regular, member.agentEndpoint)) {
            addUnique(probeTargets, member.agentEndpoint);
        }
    }
    if (!probeTargets.empty()) {
        addUnique(chosen, probeTargets[this->nextProbe++ % probeTargets.size()]);
    }
    return chosen;
}

std::vector<Endpoint> GossipPlanner::pushTargets(const std::vector<Member> &others,
                                                 const std::vector<Endpoint> &seeds)
{
    std::vector<Endpoint> targets = regularTargets(others, seeds);
    this->shuffle(targets);
    targets.resize(std::min(targets.size(), PushFanout));
    return targets;
}

void GossipPlanner::retryNextRound(const Endpoint &peer)
{
    if (this->retries.size() < ExchangeFanout) {
        addUnique(this->retries, peer);
    }
}

void GossipPlanner::shuffle(std::vector<Endpoint> &endpoints)
{
    for (std::size_t left = endpoints.size(); left > 1; --left) {
        std::swap(endpoints[left - 1], endpoints[this->random.below(left)]);
    }
}

} // namespace bronzeshed
