#include "soakrun.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <cstdlib>
#include <future>
#include <iostream>
#include <map>
#include <sstream>

namespace bronzeshed {

using namespace std::chrono_literals;

namespace {

/** Time that a caller waits. */
constexpr std::chrono::milliseconds TimeLimit{800};

std::string environmentValue(const char *name, const std::string &fallback)
{
    const char *value = std::getenv(name);
    return value != nullptr ? value : fallback;
}

} // namespace

SoakCaller::SoakCaller(GatewayDeployment &deployment, unsigned number, std::uint64_t seed,
                       std::atomic<bool> &stopping)
    : thread([this, &deployment, number, seed, &stopping] {
        SeededRandom random(seed * 100 + number);
        for (unsigned call = 0; !stopping.load(); ++call) {
            this->sendRequest(deployment, random,
                              "c" + std::to_string(number) + "-" + std::to_string(call));
        }
    })
    , stopping(stopping)
{
}

SoakCaller::~SoakCaller()
{
    this->stopping.store(true);
    this->join();
}

void SoakCaller::join()
{
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

void SoakCaller::sendRequest(const GatewayDeployment &deployment, Random &random,
                             const std::string &id)
{
    CallResult result;
    result.id = id;
    result.idempotent = random.below(2) == 0;
    const auto &gateway = deployment.gateways[random.below(deployment.gateways.size())];
    HttpRequest request;
    request.method = result.idempotent ? "GET" : "POST";
    request.target = result.idempotent ? "/reads/x" : "/orders/x";
    request.authority = "h.example";
    request.headers.add("X-Bronzeshed-Request-Id", id);
    request.headers.add("X-Bronzeshed-Request-Deadline-Ms", std::to_string(TimeLimit.count()));
    const HttpResponse response = this->exchange(gateway.callers, request);
    result.status = response.status;
    if (result.status != 200) {
        result.reason = std::to_string(result.status) + " "
            + std::string(response.headers.find("Bronzeshed-Reason").value_or(""));
    }
    result.intact = response.status != 200
        || (response.body == RegisteredUpstream::responseBody(id)
            && response.headers.find("X-Bronzeshed-Server-Signature"));
    this->results.push_back(result);
    std::this_thread::sleep_for(5ms);
}

HttpResponse SoakCaller::exchange(const Endpoint &gateway, const HttpRequest &request)
{
    std::promise<ExchangeResult> end;
    this->lastExchange = this->lastExchange.next();
    this->connections.send(this->lastExchange, gateway, request, ConnectionUse::AnyIdle,
                           TimeLimit + 1s,
                           [&end](ExchangeResult result) { end.set_value(std::move(result)); });
    ExchangeResult result = end.get_future().get();
    if (result.status != ExchangeStatus::Answered) {
        result.response.status = 0;
    }
    return std::move(result.response);
}

void stopAsPlanned(TestGateway &gateway)
{
    gateway.process->signal(SIGTERM);
    const TimePoint start = std::chrono::steady_clock::now();
    const std::optional<int> exitCode = gateway.process->waitForExit(6s);
    const std::chrono::duration<double> taken = std::chrono::steady_clock::now() - start;
    BOOST_TEST((exitCode == 0),
               "planned stop with exit code " << exitCode.value_or(-1) << " after " << taken.count()
                                              << " s; -1: still running");
}

void checkResults(const std::vector<std::unique_ptr<SoakCaller>> &callers, ExecutionLog &executions,
                  std::uint64_t seed)
{
    std::size_t answered = 0;
    std::size_t total = 0;
    std::map<std::string, unsigned> reasons;
    for (const auto &caller : callers) {
        for (const CallResult &result : caller->results) {
            const unsigned count = executions.count(result.id);
            BOOST_TEST(result.intact, "incomplete or wrong response to " << result.id);
            BOOST_TEST((result.idempotent || count <= 1),
                       result.id << " ran " << count << " times");
            const bool reportedNotRun = result.status == 503 || result.status == 429
                || result.status == 408 || result.status == 421;
            BOOST_TEST((!reportedNotRun || result.idempotent || count == 0),
                       result.id << " ran although the response reported that it did not");
            BOOST_TEST((result.status == 200 || result.status >= 500 || result.status == 0),
                       result.id << " received the unexpected status " << result.status);
            answered += result.status == 200 ? 1 : 0;
            ++reasons[result.reason];
        }
        total += caller->results.size();
    }
    std::cout << "seed " << seed << ": " << answered << " of " << total << " answered";
    for (const auto &[reason, count] : reasons) {
        std::cout << (reason.empty() ? "" : ", " + reason + ": " + std::to_string(count));
    }
    std::cout << std::endl;
    BOOST_TEST(answered > 0U);
}

void runSoak(const std::string &defaultSeeds, unsigned defaultSeconds,
             const std::function<void(std::uint64_t, std::chrono::seconds)> &soak)
{
    std::istringstream seeds(environmentValue("BRONZESHED_SOAK_SEEDS", defaultSeeds));
    const auto seconds
        = std::stoul(environmentValue("BRONZESHED_SOAK_SECONDS", std::to_string(defaultSeconds)));
    std::string seed;
    while (std::getline(seeds, seed, ',')) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            soak(std::stoull(seed), std::chrono::seconds(seconds));
        }
    }
}

} // namespace bronzeshed
