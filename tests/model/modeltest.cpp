#include "model/modelrun.h"
#include "model/speedschedule.h"

#include <boost/test/unit_test.hpp>

using namespace bronzeshed;
using std::chrono::milliseconds;

namespace {

constexpr double P99 = 0.99;

ModelOptions shortRun(double load)
{
    ModelOptions options;
    options.duration = std::chrono::seconds(5);
    options.load = load;
    return options;
}

ModelResult runChosen(const ModelOptions &options)
{
    return runModel(options, modelPolicies().back());
}

} // namespace

BOOST_AUTO_TEST_SUITE(model)

// Guards against figures that cannot be reproduced.
BOOST_AUTO_TEST_CASE(the_same_seed_gives_the_same_result)
{
    ModelOptions options = shortRun(0.8);
    const ModelResult first = runChosen(options);
    const ModelResult second = runChosen(options);
    BOOST_TEST(first.calls() == second.calls());
    BOOST_TEST((first.quantile(P99) == second.quantile(P99)));
    options.seed = 2;
    BOOST_TEST((first.quantile(P99) != runChosen(options).quantile(P99)));
}

// Guards against a routing change that loses the tail latency of the owner's exact slot counts.
BOOST_AUTO_TEST_CASE(the_owner_stays_near_the_ideal_queue)
{
    const ModelOptions options = shortRun(0.8);
    const Duration ideal = runModel(options, modelPolicies().front()).quantile(P99);
    const ModelResult chosen = runChosen(options);
    BOOST_TEST(chosen.quantile(P99).count() <= ideal.count() * 1.15);
    BOOST_TEST(chosen.probeShare < 0.01);
    for (const ModelPolicy &policy : modelPolicies()) {
        if (!policy.oneOwner) {
            BOOST_TEST((runModel(options, policy).quantile(P99) > chosen.quantile(P99)));
        }
    }
}

// Guards against admitting more than can be answered in time, and against a starved class.
BOOST_AUTO_TEST_CASE(admitted_calls_meet_their_target_under_overload)
{
    const ModelResult result = runChosen(shortRun(1.2));
    BOOST_TEST(result.shareWithinTarget() >= 0.99);
    BOOST_TEST(result.leastServedShare() >= 0.5);
}

// Guards against calls that are lost when a server fails fast or is replaced.
BOOST_AUTO_TEST_CASE(faults_leave_nearly_all_calls_answered)
{
    ModelOptions options = shortRun(0.6);
    options.scenario = Scenario::Faults;
    const ModelResult result = runChosen(options);
    BOOST_TEST(result.shareWithinTarget() >= 0.99);
    BOOST_TEST(result.probes > 0U);
}

// Guards against slow phases that take more or less time than the model states.
BOOST_AUTO_TEST_CASE(speed_has_the_stated_mean)
{
    const TimePoint start{};
    SpeedSchedule schedule(5, start);
    const Duration work = std::chrono::seconds(1000);
    const std::chrono::duration<double> time = schedule.finish(start, work) - start;
    BOOST_TEST(time.count() * SpeedSchedule::MeanSpeed == 1000, boost::test_tools::tolerance(0.01));
}

BOOST_AUTO_TEST_SUITE_END()
