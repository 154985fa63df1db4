#include "replay/trace.h"

#include "replay/tracegenerator.h"

#include <boost/test/unit_test.hpp>
#include <sstream>

using namespace bronzeshed;

namespace {

std::vector<TraceCall> parse(const std::string &text)
{
    std::istringstream input(text);
    return parseTrace(input);
}

std::string errorOf(const std::string &text)
{
    try {
        parse(text);
    } catch (const TraceError &error) {
        return error.what();
    }
    return "accepted";
}

} // namespace

BOOST_AUTO_TEST_SUITE(trace)

// Guards against fields of a trace line that are mixed up or misread.
BOOST_AUTO_TEST_CASE(reads_each_field)
{
    const auto calls = parse("5 reads puget puget-a GET /x 0\n5 orders puget puget-b POST /y 12\n");
    BOOST_REQUIRE(calls.size() == 2);
    BOOST_TEST(calls[1].time.count() == 5);
    BOOST_TEST(calls[1].className.value() == "orders");
    BOOST_TEST(calls[1].region.value() == "puget");
    BOOST_TEST(calls[1].zone.value() == "puget-b");
    BOOST_TEST(calls[1].method == "POST");
    BOOST_TEST(calls[1].path == "/y");
    BOOST_TEST(calls[1].bodyBytes == 12);
}

// Guards against replaying a malformed trace instead of rejecting it with the number of the line.
BOOST_AUTO_TEST_CASE(rejects_malformed_lines_and_names_them)
{
    const std::string validLine = "5 reads puget puget-a GET /x 0\n";
    for (const char *malformed : {
             "", // blank line
             "5 reads puget puget-a GET /x", // field missing
             "5 reads puget puget-a GET /x 0 0", // extra field
             "5  reads puget puget-a GET /x 0", // two spaces
             "-5 reads puget puget-a GET /x 0", // negative time
             "4 reads puget puget-a GET /x 0", // time decreases
             "5 re_ads puget puget-a GET /x 0", // malformed name
             "5 reads puget puget-a get /x 0", // unknown method
             "5 reads puget puget-a GET x 0", // path without slash
             "5 reads puget puget-a GET /x?y 0", // query
             "5 reads puget puget-a GET /x 0x1", // malformed number
             "5 reads puget puget-a GET /x 1048577", // body above the limit of an entry
         }) {
        const std::string error = errorOf(validLine + malformed + "\n");
        BOOST_TEST(error.starts_with("line 2: "), "'" << malformed << "': " << error);
    }
    BOOST_TEST(errorOf("").find("no calls") != std::string::npos);
}

// Guards against a generator whose output the parser rejects, whose output differs between runs
// with the same seed, or whose load has no bursts.
BOOST_AUTO_TEST_CASE(generated_trace_is_repeatable_and_bursty)
{
    SeededRandom first(1);
    SeededRandom second(1);
    const TraceProfile profile = makeTraceProfile("groyne");
    const auto calls = generateTrace(profile, first);
    std::string text;
    for (const TraceCall &call : calls) {
        text += formatTraceCall(call) + "\n";
    }
    const bool same = parse(text) == calls && generateTrace(profile, second) == calls;
    BOOST_TEST(same);
    const double rate = static_cast<double>(calls.size()) / 20.0;
    BOOST_TEST(rate > 270.0);
    BOOST_TEST(rate < 330.0);
    // Calls per 10 ms: without bursts, variance and mean would be equal.
    std::vector<double> counts(2000);
    for (const TraceCall &call : calls) {
        ++counts[static_cast<std::size_t>(call.time.count() / 10000)];
    }
    const double mean = static_cast<double>(calls.size()) / 2000.0;
    double variance = 0.0;
    for (const double count : counts) {
        variance += (count - mean) * (count - mean) / 2000.0;
    }
    BOOST_TEST(variance > 1.3 * mean);
}

BOOST_AUTO_TEST_SUITE_END()
