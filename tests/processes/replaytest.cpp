#include "replay/replay.h"
#include "testfleet.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <fstream>
#include <future>
#include <sstream>
#include <thread>

using namespace bronzeshed;

namespace {

constexpr std::chrono::milliseconds TraceLength{8000};
/** The recorded trace is made for 44 upstreams. */
constexpr std::size_t TakeOneOf = 4;

/** The start of a recorded trace, thinned out and mapped to the classes under test. */
std::vector<TraceCall> readTrace()
{
    std::ifstream file(BRONZESHED_TRACES "/tidemark.trace");
    std::vector<TraceCall> calls;
    std::size_t number = 0;
    for (TraceCall &call : parseTrace(file)) {
        if (call.time < TraceLength && ++number % TakeOneOf == 0) {
            call.className
                = ClassName(call.className.value() == "schedule-reads" ? "reads" : "orders");
            call.region = RegionName("puget");
            call.zone = ZoneName("puget-a");
            calls.push_back(std::move(call));
        }
    }
    return calls;
}

/** Three entry instances, five upstreams and a trace that is replayed against them. */
struct Replay
{
    Replay()
    {
        const std::string declaration
            = "[service.almanac]\n"
              "[class.reads]\nservice = \"almanac\"\nrepeatable = true\nanswer_within_ms = 100\n"
              "[class.orders]\nservice = \"almanac\"\nrepeatable = false\nanswer_within_ms = 100\n";
        BOOST_REQUIRE(TestFleet::apply(this->fleet.instances[0], declaration, 1, "test").status
                      == 200U);
        for (const TestInstance &instance : this->fleet.instances) {
            this->options.targets.push_back(instance.callerEndpoint);
            BOOST_REQUIRE(
                waitFor([&] { return TestFleet::versionInForce(instance.callerEndpoint) == 2; }));
        }
        for (const TestUpstream &upstream : this->fleet.upstreams) {
            this->options.upstreams.push_back(upstream.endpoint);
        }
        this->options.trace = readTrace();
        this->options.declaration = parseDeclaration(declaration);
    }

    TestInstance &owner()
    {
        const Endpoint first
            = TestFleet::lookup(this->fleet.instances[0].callerEndpoint, "orders").at(0);
        for (TestInstance &instance : this->fleet.instances) {
            if (instance.callerEndpoint == first) {
                return instance;
            }
        }
        throw std::runtime_error("the owner is no instance of the fleet");
    }

    void setState(std::size_t upstream, const std::string &state) const
    {
        TestFleet::send(this->fleet.upstreams.at(upstream).endpoint, "PUT", "/control/state",
                        state);
    }

    /** Loses the answers on all connections to upstreams that are open now. */
    void silenceAll() const
    {
        for (std::size_t i = 0; i < this->fleet.upstreams.size(); ++i) {
            this->setState(i, "silent");
        }
    }

    TestFleet fleet{3, 5};
    ReplayOptions options;
};

} // namespace

// Guards P2, P3 and P4 while faults come one upon the other: an answer that is wrong, lost or for
// another call, an order that runs twice, and one that ran after its caller was told not-run.
BOOST_FIXTURE_TEST_CASE(a_recorded_trace_keeps_its_outcomes_under_faults, Replay)
{
    TestInstance &owner = this->owner();
    TestInstance &other = this->fleet.instances[&owner == &this->fleet.instances[1] ? 2 : 1];
    std::ostringstream report;
    auto kept = std::async(std::launch::async, [&] { return replayTrace(this->options, report); });
    const std::vector<std::function<void()>> faults{
        [&] { this->silenceAll(); },          [&] { this->setState(1, "draining"); },
        [&] { owner.entry->kill(); },         [&] { this->fleet.setStoreFault("down"); },
        [&] { this->silenceAll(); },          [&] { this->setState(2, "fail-fast"); },
        [&] { other.entry->freeze(); },       [&] { this->silenceAll(); },
        [&] { this->setState(2, "normal"); }, [&] { other.entry->signal(SIGCONT); },
    };
    for (const auto &cause : faults) {
        std::this_thread::sleep_for(TraceLength / faults.size());
        cause();
    }
    BOOST_TEST(kept.get(), report.str());
    const std::string text = report.str();
    BOOST_TEST(text.find("class=reads ") != std::string::npos, text);
    BOOST_TEST(text.find("class=orders ") != std::string::npos, text);
    BOOST_TEST_MESSAGE(text);
}
