#include "testfleet.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

using namespace bronzeshed;

namespace {

boost::json::value readStatus(const TestInstance &instance)
{
    HttpHeaders headers;
    headers.add("Authorization", "Bearer test-token");
    const auto response
        = TestFleet::send(instance.operatorEndpoint, "GET", "/v1/status?calls=1", "", headers);
    BOOST_REQUIRE_EQUAL(response.status, 200U);
    return boost::json::parse(response.body);
}

/** State and number of calls of a class, such as "holds 20". */
std::string stateOf(const TestInstance &instance, const std::string &className)
{
    const boost::json::value status = readStatus(instance);
    for (const auto &item : status.at("classes").as_array()) {
        if (item.at("name").as_string() == className) {
            const auto &minute = item.at("last_minute");
            return std::string(minute.at("state").as_string()) + " "
                + std::to_string(minute.at("calls").as_int64());
        }
    }
    return "missing";
}

void applyEverywhere(const TestFleet &fleet, unsigned targetMs, std::uint64_t base)
{
    const auto applied
        = TestFleet::apply(fleet.instances[0], testDeclaration(targetMs), base, "anna");
    BOOST_REQUIRE_EQUAL(applied.status, 200U);
    for (const TestInstance &instance : fleet.instances) {
        BOOST_REQUIRE(waitFor(
            [&] { return TestFleet::versionInForce(instance.callerEndpoint) == base + 1; }));
    }
}

void callEach(const TestFleet &fleet, unsigned calls)
{
    HttpHeaders headers;
    headers.add("Bronzeshed-Class", "reads");
    headers.add("Bronzeshed-Deadline-Ms", "5000");
    for (const TestInstance &instance : fleet.instances) {
        for (unsigned i = 0; i < calls; ++i) {
            TestFleet::send(instance.callerEndpoint, "GET", "/", "", headers);
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(status)

// Guards against counts that miss an instance or judge calls by a former target, and against an
// instance that is left out without notice.
BOOST_AUTO_TEST_CASE(status_shows_whether_targets_hold_over_all_instances)
{
    TestFleet fleet(2, 2);
    const TestInstance &asked = fleet.instances[0];
    applyEverywhere(fleet, 5000, 1);
    callEach(fleet, 10);
    BOOST_TEST(waitFor([&] { return stateOf(asked, "reads") == "holds 20"; }));
    BOOST_TEST(stateOf(asked, "orders") == "no calls 0");

    applyEverywhere(fleet, 1, 2);
    BOOST_TEST(waitFor([&] { return stateOf(asked, "reads") == "no calls 0"; }));
    callEach(fleet, 10);
    BOOST_TEST(waitFor([&] { return stateOf(asked, "reads") == "missed 20"; }));
    BOOST_TEST(readStatus(asked).at("not_counted").as_array().empty());

    fleet.instances[1].entry->freeze();
    BOOST_TEST(waitFor([&] {
        const auto status = readStatus(asked);
        const auto &missing = status.at("not_counted").as_array();
        return missing.size() == 1 && missing[0].as_string() == "entry-1";
    }));
}

BOOST_AUTO_TEST_SUITE_END()
