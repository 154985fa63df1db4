#include "testfleet.h"

#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <mutex>
#include <thread>

using namespace bronzeshed;

namespace {

HttpHeaders readHeaders()
{
    HttpHeaders headers;
    headers.add("Bronzeshed-Class", "reads");
    return headers;
}

std::string outcomeOf(const HttpResponse &response)
{
    return response.headers.find("Bronzeshed-Outcome").value_or("none");
}

/** Looks up and calls until stopped; asks one known entry after the other for addresses. */
class SteadyLoad
{
public:
    explicit SteadyLoad(const TestFleet &fleet, unsigned threads = 4)
    {
        for (const TestInstance &instance : fleet.instances) {
            this->known.push_back(instance.callerEndpoint);
        }
        for (unsigned i = 0; i < threads; ++i) {
            this->workers.emplace_back([this, i] { this->run(i); });
        }
    }
    ~SteadyLoad() { this->stop(); }
    SteadyLoad(const SteadyLoad &) = delete;
    SteadyLoad &operator=(const SteadyLoad &) = delete;

    /** Asks @p added instead of @p removed for addresses from now on. */
    void replace(const Endpoint &removed, const Endpoint &added)
    {
        const std::lock_guard lock(this->mutex);
        std::replace(this->known.begin(), this->known.end(), removed, added);
    }

    void stop()
    {
        this->stopping = true;
        for (std::thread &worker : this->workers) {
            worker.join();
        }
        this->workers.clear();
    }

    std::atomic<unsigned> answered{0};
    std::atomic<unsigned> refused{0};
    std::atomic<unsigned> broken{0};

private:
    Endpoint directory(unsigned turn)
    {
        const std::lock_guard lock(this->mutex);
        return this->known[turn % this->known.size()];
    }

    void run(unsigned turn)
    {
        while (!this->stopping) {
            const auto entries = TestFleet::lookup(this->directory(turn++), "reads");
            if (entries.empty()) {
                continue;
            }
            const auto response = TestFleet::send(entries[0], "GET", "/steady", "", readHeaders());
            const std::string outcome = outcomeOf(response);
            ++(outcome == "answered"      ? this->answered
                   : response.status == 0 ? this->broken
                                          : this->refused);
        }
    }

    std::mutex mutex;
    std::vector<Endpoint> known;
    std::atomic<bool> stopping{false};
    std::vector<std::thread> workers;
};

} // namespace

BOOST_AUTO_TEST_SUITE(promises)

// Guards against a configuration that some instance never takes over, and against one that is lost
// or reverts while the store is down or holds an older value.
BOOST_AUTO_TEST_CASE(accepted_configuration_is_in_force_everywhere_and_never_reverts)
{
    TestFleet fleet(4, 2);
    const auto allAtLeast = [&](std::uint64_t version) {
        return waitFor([&] {
            for (const TestInstance &instance : fleet.instances) {
                if (TestFleet::versionInForce(instance.callerEndpoint) < version) {
                    return false;
                }
            }
            return true;
        });
    };
    BOOST_REQUIRE(allAtLeast(1));
    BOOST_REQUIRE_EQUAL(TestFleet::apply(fleet.instances[1], testDeclaration(400), 1, "a").status,
                        200U);
    BOOST_TEST(allAtLeast(2));

    // The reply to this change is lost, so the agent has to find out by itself.
    TestFleet::send(fleet.platformEndpoint, "PUT", "/control/fault?part=store&count=1",
                    "lose-reply");
    const auto lost = TestFleet::apply(fleet.instances[2], testDeclaration(300), 2, "b");
    BOOST_TEST(lost.status == 200U);
    BOOST_TEST(allAtLeast(3));

    // The store comes back with an older value.
    TestFleet::send(fleet.platformEndpoint, "PUT", "/control/restore/bronzeshed/config?steps=2");
    std::this_thread::sleep_for(std::chrono::seconds(3));
    for (const TestInstance &instance : fleet.instances) {
        BOOST_TEST(TestFleet::versionInForce(instance.callerEndpoint) >= 3U);
    }

    // An instance that starts while the store is down learns the configuration from its peers.
    fleet.setStoreFault("down");
    fleet.instances.push_back(fleet.startInstance("entry-late"));
    BOOST_TEST(allAtLeast(3));
}

// Guards against two operators who both believe that their change took effect.
BOOST_AUTO_TEST_CASE(one_of_two_concurrent_operators_wins)
{
    TestFleet fleet(2, 1);
    HttpResponse first;
    HttpResponse second;
    std::thread other(
        [&] { first = TestFleet::apply(fleet.instances[0], testDeclaration(111), 1, "first"); });
    second = TestFleet::apply(fleet.instances[1], testDeclaration(222), 1, "second");
    other.join();
    const unsigned winners = (first.status == 200 ? 1U : 0U) + (second.status == 200 ? 1U : 0U);
    const unsigned conflicts = (first.status == 409 ? 1U : 0U) + (second.status == 409 ? 1U : 0U);
    BOOST_TEST(winners == 1U);
    BOOST_TEST(conflicts == 1U);
}

// Guards against new work for a leaving upstream when the mark cannot be written to the store, and
// when an entry was frozen while the mark spread.
BOOST_AUTO_TEST_CASE(leaving_upstream_gets_no_new_work)
{
    TestFleet fleet(3, 2);
    SteadyLoad load(fleet);
    BOOST_REQUIRE(waitFor([&] { return TestFleet::executionsAt(fleet.upstreams[0]) > 20; }));
    fleet.setStoreFault("down");
    fleet.instances[2].entry->signal(SIGSTOP);
    fleet.instances[2].agent->signal(SIGSTOP);
    const unsigned status = TestFleet::markLeaving(fleet.instances[0], "almanac-0").status;
    BOOST_TEST((status == 200 || status == 202));
    std::this_thread::sleep_for(std::chrono::seconds(8));
    const unsigned before = TestFleet::executionsAt(fleet.upstreams[0]);
    fleet.instances[2].agent->signal(SIGCONT);
    fleet.instances[2].entry->signal(SIGCONT);
    const unsigned answeredBefore = load.answered;
    BOOST_TEST(waitFor([&] { return load.answered > answeredBefore + 200; }));
    // Calls that the frozen entry had already put on a connection may still run: one per slot.
    BOOST_TEST(TestFleet::executionsAt(fleet.upstreams[0]) <= before + 2);
}

// Guards against requests that are cut off, and against callers with a valid lookup answer that are
// refused, while every entry instance is replaced in turn.
BOOST_AUTO_TEST_CASE(rolling_replacement_cuts_off_nothing)
{
    TestFleet fleet(3, 3);
    SteadyLoad load(fleet);
    for (unsigned i = 0; i < 3; ++i) {
        const unsigned answeredBefore = load.answered;
        BOOST_REQUIRE(waitFor([&] { return load.answered > answeredBefore + 50; }));
        TestInstance successor = fleet.startInstance("entry-new-" + std::to_string(i));
        BOOST_REQUIRE(waitFor(
            [&] { return TestFleet::lookup(successor.callerEndpoint, "reads").size() == 3; }));
        load.replace(fleet.instances[i].callerEndpoint, successor.callerEndpoint);
        fleet.instances[i].entry->signal(SIGTERM);
        const auto exitCode = fleet.instances[i].entry->waitForExit(std::chrono::seconds(30));
        BOOST_TEST(exitCode.value_or(-1) == 0);
        fleet.instances[i].agent->signal(SIGTERM);
        fleet.instances[i] = std::move(successor);
        fleet.publishInstances();
    }
    load.stop();
    BOOST_TEST(load.refused == 0U);
    BOOST_TEST(load.answered > 100U);
    BOOST_TEST(load.broken == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
