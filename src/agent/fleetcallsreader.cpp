#include "agent/fleetcallsreader.h"

#include "base/error.h"
#include "http/httpclient.h"

#include <algorithm>
#include <atomic>
#include <thread>

namespace bronzeshed {

namespace {

/** The same limit as for a call between agents. */
constexpr std::chrono::milliseconds AnswerLimit{500};
/** Several operators who watch the status through one agent cause at most one round a second. */
constexpr std::chrono::seconds MinReuseTime{1};
/** The limit of control traffic is 6 KB/s, of which gossip needs 3.3 KB/s with 40 instances. */
constexpr std::size_t MaxBytesPerSecond = 2500;
/** Headers of a request and its response. */
constexpr std::size_t HeaderBytes = 250;
/** With all of 60 instances silent, two rounds of the limit are needed. */
constexpr std::size_t MaxParallel = 32;

/** Adds the bytes of the answer to @p bytes. */
std::optional<CallCountsByClass> askEntry(const Endpoint &entry, std::atomic<std::size_t> &bytes)
{
    HttpRequest request;
    request.target = CallCountsPath;
    try {
        const HttpResponse response = sendHttpRequest(entry, request, AnswerLimit);
        bytes += HeaderBytes + response.body.size();
        if (response.status == 200) {
            return parseCallCounts(response.body);
        }
    } catch (const std::exception &) {
        return std::nullopt; // the operator is told that the instance is not counted
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
        this->newest = this->ask();
        this->readAt = this->clock.now();
    }
    FleetCalls fleet = *this->newest;
    fleet.age
        = std::chrono::duration_cast<std::chrono::milliseconds>(this->clock.now() - this->readAt);
    return fleet;
}

FleetCalls FleetCallsReader::ask()
{
    std::vector<Member> members = this->agent.members();
    std::erase_if(members, [](const Member &member) { return member.state == MemberState::Dead; });
    std::vector<std::optional<CallCountsByClass>> answers(members.size());
    std::atomic<std::size_t> next{0};
    std::atomic<std::size_t> bytes{0};
    {
        std::vector<std::jthread> threads;
        for (std::size_t i = 0; i < std::min(MaxParallel, members.size()); ++i) {
            threads.emplace_back([&] {
                for (std::size_t at = next++; at < members.size(); at = next++) {
                    answers[at] = askEntry(members[at].callerEndpoint, bytes);
                }
            });
        }
    }
    const std::chrono::milliseconds limited{bytes.load() * 1000 / MaxBytesPerSecond};
    this->reuseTime = std::max<Duration>(MinReuseTime, limited);
    FleetCalls fleet;
    fleet.instances = members.size();
    for (std::size_t i = 0; i < members.size(); ++i) {
        if (!answers[i]) {
            fleet.notCounted.push_back(members[i].id);
            continue;
        }
        for (const auto &[name, counts] : *answers[i]) {
            fleet.classes[name] += counts;
        }
    }
    return fleet;
}

} // namespace bronzeshed
