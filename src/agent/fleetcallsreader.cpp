#include "agent/fleetcallsreader.h"

#include "base/error.h"
#include "http/httpclient.h"

#include <algorithm>
#include <atomic>
#include <thread>

namespace bronzeshed {

namespace {

/** Same timeout as for a call between agents. */
constexpr std::chrono::milliseconds ResponseTimeout{500};
/** Operators who poll the status through one agent cause at most one round of queries a second. */
constexpr std::chrono::seconds MinReuseTime{1};
/** Control traffic is limited to 6 KB/s, of which gossip needs 3.3 KB/s with 40 instances. */
constexpr std::size_t MaxTrafficBytesPerSecond = 2500;
/** Estimated size of the headers of a request and its response. */
constexpr std::size_t HeaderBytes = 250;
/** If none of 60 instances answers, the queries take two timeouts. */
constexpr std::size_t MaxParallel = 32;

/** Reads the counts of one entry and adds the bytes of the exchange to @p bytes. */
std::optional<CallCountsByClass> queryEntry(const Endpoint &entry, std::atomic<std::size_t> &bytes)
{
    HttpRequest request;
    request.target = CallCountsPath;
    try {
        const HttpResponse response = sendHttpRequest(entry, request, ResponseTimeout);
        bytes += HeaderBytes + response.body.size();
        if (response.status == 200) {
            return parseCallCounts(response.body);
        }
    } catch (const std::exception &) {
        return std::nullopt; // the status lists the instance as not counted
    }
    return std::nullopt;
}

} // namespace

FleetCallsReader::FleetCallsReader(ConfigKeeperPort &agent)
    : agent(agent)
{
}

FleetCalls FleetCallsReader::read()
{
    if (!this->newest || this->clock.now() - this->readAt >= this->reuseTime) {
        this->newest = this->queryEntries();
        this->readAt = this->clock.now();
    }
    FleetCalls fleet = *this->newest;
    fleet.age
        = std::chrono::duration_cast<std::chrono::milliseconds>(this->clock.now() - this->readAt);
    return fleet;
}

FleetCalls FleetCallsReader::queryEntries()
{
    std::vector<Member> members = this->agent.members();
    std::erase_if(members, [](const Member &member) { return member.state == MemberState::Dead; });
    std::vector<std::optional<CallCountsByClass>> counts(members.size());
    std::atomic<std::size_t> next{0};
    std::atomic<std::size_t> bytes{0};
    {
        std::vector<std::jthread> threads;
        for (std::size_t i = 0; i < std::min(MaxParallel, members.size()); ++i) {
            threads.emplace_back([&] {
                for (std::size_t index = next++; index < members.size(); index = next++) {
                    counts[index] = queryEntry(members[index].callerEndpoint, bytes);
                }
            });
        }
    }
    const std::chrono::milliseconds trafficInterval{bytes.load() * 1000 / MaxTrafficBytesPerSecond};
    this->reuseTime = std::max<Duration>(MinReuseTime, trafficInterval);
    FleetCalls fleet;
    fleet.instances = members.size();
    for (std::size_t i = 0; i < members.size(); ++i) {
        if (!counts[i]) {
            fleet.notCounted.push_back(members[i].id);
            continue;
        }
        for (const auto &[name, classCounts] : *counts[i]) {
            fleet.classes[name] += classCounts;
        }
    }
    return fleet;
}

} // namespace bronzeshed
