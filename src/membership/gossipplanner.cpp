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

/** Agents of the members that are not dead, or the seeds if there are none. */
std::vector<Endpoint> usualTargets(const std::vector<Member> &others,
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
    const std::vector<Endpoint> usual = usualTargets(others, seeds);
    std::vector<Endpoint> chosen;
    for (const Endpoint &peer : std::exchange(this->again, {})) {
        if (chosen.size() < ExchangePeers && contains(usual, peer)) {
            chosen.push_back(peer);
        }
    }
    const std::size_t wanted = std::min(ExchangePeers, usual.size());
    while (chosen.size() < wanted) {
        if (this->order.empty()) {
            this->order = usual;
            this->shuffle(this->order);
        }
        const Endpoint next = this->order.back();
        this->order.pop_back();
        if (contains(usual, next)) {
            addUnique(chosen, next);
        }
    }
    if (++this->round % ProbeRounds != 0) {
        return chosen;
    }
    std::vector<Endpoint> probes;
    for (const Endpoint &seed : seeds) {
        if (!contains(usual, seed)) {
            addUnique(probes, seed);
        }
    }
    for (const Member &member : others) {
        if (!contains(usual, member.agentEndpoint)) {
            addUnique(probes, member.agentEndpoint);
        }
    }
    if (!probes.empty()) {
        addUnique(chosen, probes[this->nextProbe++ % probes.size()]);
    }
    return chosen;
}

std::vector<Endpoint> GossipPlanner::pushTargets(const std::vector<Member> &others,
                                                 const std::vector<Endpoint> &seeds)
{
    std::vector<Endpoint> targets = usualTargets(others, seeds);
    this->shuffle(targets);
    targets.resize(std::min(targets.size(), PushPeers));
    return targets;
}

void GossipPlanner::callAgain(const Endpoint &peer)
{
    if (this->again.size() < ExchangePeers) {
        addUnique(this->again, peer);
    }
}

void GossipPlanner::shuffle(std::vector<Endpoint> &endpoints)
{
    for (std::size_t left = endpoints.size(); left > 1; --left) {
        std::swap(endpoints[left - 1], endpoints[this->random.below(left)]);
    }
}

} // namespace bronzeshed
