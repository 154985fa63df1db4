#include "replay/callstatistics.h"

#include "base/error.h"
#include "replay/replay.h"

#include <boost/test/unit_test.hpp>

using namespace bronzeshed;

namespace {

CallRecord makeRecord(CallEnd end, std::vector<UsedIdentity> identities)
{
    CallRecord record;
    record.end = end;
    record.latency = std::chrono::milliseconds(7);
    record.attempts = 1;
    record.identities = std::move(identities);
    return record;
}

ClassStatistics add(const CallRecord &record, const ExecutionCounts &executions)
{
    ClassStatistics statistics(std::chrono::milliseconds(50));
    statistics.add(record, executions);
    return statistics;
}

bool contains(const ClassStatistics &statistics, const std::string &text)
{
    return statistics.line("c").find(text) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(callstatistics)

// Guards against off-by-one errors in the rank, which understate the tail latency.
BOOST_AUTO_TEST_CASE(quantiles_are_nearest_ranks)
{
    std::vector<Duration> values;
    for (int i = 1; i <= 1000; ++i) {
        values.emplace_back(i);
    }
    BOOST_TEST(quantile(values, 0.5).count() == 500);
    BOOST_TEST(quantile(values, 0.99).count() == 990);
    BOOST_TEST(quantile(values, 0.999).count() == 999);
    BOOST_TEST(quantile(values, 1.0).count() == 1000);
    values.resize(10);
    BOOST_TEST(quantile(values, 0.99).count() == 10);
    BOOST_TEST(quantile({Duration(3)}, 0.01).count() == 3);
    BOOST_TEST(quantile({}, 0.99).count() == 0);
}

// Guards against a changed line format, which scripts that read the report could not parse.
BOOST_AUTO_TEST_CASE(line_has_the_documented_format)
{
    const auto statistics = add(makeRecord(CallEnd::Answered, {{"a"}}), {{"a", 1}});
    BOOST_TEST(!statistics.hasViolation());
    BOOST_TEST(statistics.line("c").starts_with(
        "class=c calls=1 answered=1 not_run=0 unknown=0 wrong=0 doubled=0 p99_ms=7.000 "
        "target_ms=50.000 "));
}

// Guards against undetected double executions: a call that was reported as not run is sent again
// with a new identity, so executions must be summed over all identities of the call.
BOOST_AUTO_TEST_CASE(executions_of_all_identities_of_a_call_are_summed)
{
    const auto twice = add(makeRecord(CallEnd::Answered, {{"a"}}), {{"a", 2}});
    BOOST_TEST(contains(twice, " doubled=1 "));
    const auto both
        = add(makeRecord(CallEnd::Answered, {{"a", true}, {"b"}}), {{"a", 1}, {"b", 1}});
    BOOST_TEST(contains(both, " doubled=1 "));
    BOOST_TEST(contains(both, " ran_not_run=1 "));
    const auto once = add(makeRecord(CallEnd::Unknown, {{"a", true}, {"b"}}), {{"b", 1}});
    BOOST_TEST(!once.hasViolation());
}

// Guards against lost calls that are not reported: a call that never ended, and an answered call
// that no upstream executed.
BOOST_AUTO_TEST_CASE(lost_calls_are_violations)
{
    const auto open = add(makeRecord(CallEnd::Open, {{"a"}}), {});
    BOOST_TEST(contains(open, " lost=1 "));
    BOOST_TEST(open.hasViolation());
    const auto notExecuted = add(makeRecord(CallEnd::Answered, {{"a"}}), {});
    BOOST_TEST(contains(notExecuted, " lost=1 "));
    BOOST_TEST(notExecuted.hasViolation());
    CallRecord refused = makeRecord(CallEnd::Answered, {{"a"}});
    refused.upstreamFailed = true;
    BOOST_TEST(contains(add(refused, {}), " failed=1 "));
    BOOST_TEST(!add(refused, {}).hasViolation());
    CallRecord repeatable = makeRecord(CallEnd::Answered, {});
    repeatable.repeatable = true;
    BOOST_TEST(!add(repeatable, {}).hasViolation());
}

// Guards against silently ignored executions if the format of /executions changes, and against
// counts of several upstreams that overwrite each other.
BOOST_AUTO_TEST_CASE(executions_of_several_upstreams_add_up)
{
    ExecutionCounts counts;
    addExecutions("a 1\nb 2\n", counts);
    addExecutions("a 1\n", counts);
    BOOST_TEST(counts["a"] == 2);
    BOOST_TEST(counts["b"] == 2);
    for (const char *bad : {"a\n", "a x\n", " 1\n", "a 1x\n", "no such path\n"}) {
        BOOST_CHECK_THROW(addExecutions(bad, counts), ProtocolError);
    }
}

BOOST_AUTO_TEST_SUITE_END()
