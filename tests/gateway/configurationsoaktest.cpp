#include "soakrun.h"

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <iostream>

using namespace bronzeshed;
using namespace std::chrono_literals;

namespace {

constexpr unsigned Gateways = 5;
/** Instances that are disturbed; these are the ones that relay the store to the others. */
constexpr unsigned DisturbedGateways = 2;
/** Time within which a configuration confirmed by the store must be active. */
constexpr std::chrono::milliseconds ConfigLimit{2500};
constexpr std::chrono::milliseconds PollPeriod{20};

const std::string DefaultSeeds = "2,7";
constexpr unsigned DefaultSeconds = 15;

/** A configuration with or without the extra route, by the times at which it was written. */
struct WrittenConfiguration
{
    TimePoint sent;
    TimePoint confirmed;
    bool extraRoute = false;
};

/** Answer of one gateway to a request for the extra route. */
struct PolledAnswer
{
    TimePoint sent;
    TimePoint received;
    unsigned status = 0;
};

/** Polls one gateway on a separate thread until it is destroyed or joined. */
class ConfigurationPoller
{
public:
    explicit ConfigurationPoller(const Endpoint &gateway)
        : thread([this, gateway] {
            while (!this->stopping.load()) {
                PolledAnswer answer;
                answer.sent = std::chrono::steady_clock::now();
                answer.status = GatewayDeployment::call(gateway, "GET", "/extra/x", "poll").status;
                answer.received = std::chrono::steady_clock::now();
                this->answers.push_back(answer);
                std::this_thread::sleep_for(PollPeriod);
            }
        })
    {
    }
    ~ConfigurationPoller() { this->join(); }
    ConfigurationPoller(const ConfigurationPoller &) = delete;
    ConfigurationPoller &operator=(const ConfigurationPoller &) = delete;

    void join()
    {
        this->stopping.store(true);
        if (this->thread.joinable()) {
            this->thread.join();
        }
    }

    std::vector<PolledAnswer> answers;

private:
    std::atomic<bool> stopping{false};
    std::thread thread;
};

/** Whether a configuration that may be in force at the time of the answer explains it. */
bool isAllowed(const PolledAnswer &answer, const std::vector<WrittenConfiguration> &written)
{
    if (answer.status != 200 && answer.status != 404) {
        return true;
    }
    for (std::size_t i = 0; i < written.size(); ++i) {
        const bool replaced
            = i + 1 < written.size() && written[i + 1].confirmed + ConfigLimit <= answer.sent;
        if (!replaced && written[i].sent <= answer.received
            && written[i].extraRoute == (answer.status == 200)) {
            return true;
        }
    }
    return false;
}

/** Disturbs the relays and their ways to the store, drawn from a random sequence. */
class RelayFaults
{
public:
    RelayFaults(GatewayDeployment &deployment, Random &random)
        : deployment(deployment)
        , random(random)
    {
    }

    void injectFault()
    {
        const unsigned number = static_cast<unsigned>(this->random.below(DisturbedGateways));
        TestGateway &gateway = this->deployment.gateways[number];
        switch (this->random.below(7)) {
        case 0:
        case 1:
            gateway.storePort->setFault(StoreFault::SilentWatches);
            break;
        case 2:
            gateway.storePort->setFault(static_cast<StoreFault>(1 + this->random.below(5)));
            break;
        case 3:
            this->freeze(number);
            break;
        case 4:
            gateway.process->kill();
            this->start(number);
            break;
        case 5:
            this->wake(number);
            stopAsPlanned(gateway);
            this->start(number);
            break;
        default:
            this->clear();
        }
    }

    void clear()
    {
        for (unsigned number = 0; number < DisturbedGateways; ++number) {
            this->deployment.gateways[number].storePort->setFault(StoreFault::None);
            this->wake(number);
        }
    }

private:
    void freeze(unsigned number)
    {
        if (!this->frozen[number]) {
            this->frozen[number] = true;
            this->deployment.gateways[number].process->freeze();
        }
    }
    void wake(unsigned number)
    {
        this->frozen[number] = false;
        this->deployment.gateways[number].process->signal(SIGCONT);
    }
    void start(unsigned number)
    {
        this->frozen[number] = false;
        this->deployment.start(this->deployment.gateways[number]);
    }

    GatewayDeployment &deployment;
    Random &random;
    std::array<bool, DisturbedGateways> frozen{};
};

void soak(std::uint64_t seed, std::chrono::seconds length)
{
    GatewayDeployment deployment(Gateways, 1);
    std::vector<WrittenConfiguration> written{
        {std::chrono::steady_clock::now(), std::chrono::steady_clock::now(), false}};
    std::vector<std::unique_ptr<ConfigurationPoller>> pollers;
    for (unsigned i = DisturbedGateways; i < Gateways; ++i) {
        pollers.push_back(std::make_unique<ConfigurationPoller>(deployment.gateways[i].callers));
    }
    SeededRandom random(seed);
    RelayFaults faults(deployment, random);
    const TimePoint end = std::chrono::steady_clock::now() + length;
    while (std::chrono::steady_clock::now() < end) {
        faults.injectFault();
        std::this_thread::sleep_for(std::chrono::milliseconds(random.below(900)));
        if (random.below(3) > 0) {
            WrittenConfiguration next;
            next.extraRoute = !written.back().extraRoute;
            next.sent = std::chrono::steady_clock::now();
            deployment.configure(next.extraRoute);
            next.confirmed = std::chrono::steady_clock::now();
            written.push_back(next);
            // Most configurations last until each instance must have them.
            std::this_thread::sleep_for(random.below(4) > 0 ? ConfigLimit + 500ms : 100ms);
        }
    }
    faults.clear();
    std::size_t answers = 0;
    for (unsigned i = 0; i < pollers.size(); ++i) {
        ConfigurationPoller &poller = *pollers[i];
        poller.join();
        answers += poller.answers.size();
        const auto late = std::count_if(
            poller.answers.begin(), poller.answers.end(),
            [&](const PolledAnswer &answer) { return !isAllowed(answer, written); });
        BOOST_TEST(late == 0,
                   "gateway " << i + DisturbedGateways << " gave " << late
                              << " answers by an old configuration");
    }
    std::cout << "seed " << seed << ": " << written.size() << " configurations, " << answers
              << " answers" << std::endl;
}

} // namespace

BOOST_AUTO_TEST_SUITE(configuration_soak)

// The instances that relay the store are frozen, ended or lose their watches while configurations
// change. Guards against other instances, in touch with the store, that work by an old one.
BOOST_AUTO_TEST_CASE(configurations_are_active_in_time)
{
    runSoak(DefaultSeeds, DefaultSeconds, soak);
}

BOOST_AUTO_TEST_SUITE_END()
