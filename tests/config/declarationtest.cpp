#include "config/declaration.h"
#include "base/error.h"
#include "config/declarationdiff.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <fstream>
#include <rapidcheck.h>
#include <sstream>

using namespace bronzeshed;

namespace {

/** Makes the property tests reproducible. */
struct FixedSeed
{
    FixedSeed() { ::setenv("RC_PARAMS", "seed=20261204 max_success=300", 0); }
};

BOOST_TEST_GLOBAL_FIXTURE(FixedSeed);

const std::string Valid = "[measuring]\n"
                          "bytes_per_second = 100\n"
                          "[service.almanac]\n"
                          "[class.reads]\n"
                          "service = \"almanac\"\n"
                          "answer_within_ms = 50\n"
                          "share = 0.99\n"
                          "repeatable = true\n";

std::string withReplaced(const std::string &from, const std::string &to)
{
    std::string text = Valid;
    return text.replace(text.find(from), from.size(), to);
}

std::string parseError(const std::string &text)
{
    try {
        parseDeclaration(text);
    } catch (const DeclarationError &error) {
        return error.what();
    }
    return "accepted";
}

} // namespace

BOOST_AUTO_TEST_SUITE(declaration)

// Guards against error messages for invalid declarations that lack the line, the key or a remedy.
BOOST_AUTO_TEST_CASE(errors_name_line_key_and_remedy)
{
    struct Case
    {
        std::string text;
        std::string line;
        std::string key;
    };
    const std::vector<Case> cases{
        {withReplaced("share", "shares"), "line 7", "shares"},
        {withReplaced("0.99", "0.01"), "line 7", "class.reads.share"},
        {withReplaced("0.99", "nan"), "line 7", "class.reads.share"},
        {withReplaced("true", "1"), "line 8", "class.reads.repeatable"},
        {withReplaced("answer_within_ms = 50\n", ""), "line 4", "class.reads.answer_within_ms"},
        {withReplaced("= 50", "= 5.5"), "line 6", "class.reads.answer_within_ms"},
        {withReplaced("\"almanac\"", "\"keyer\""), "line 5", "class.reads.service"},
        {withReplaced("= 100", "= -1"), "line 2", "measuring.bytes_per_second"},
        {withReplaced("reads]", "'a b']"), "line 4", "a b"},
        {withReplaced("[class.reads]", "[class.reads"), "line 4", ""},
        {withReplaced("[service.almanac]\n", ""), "line 1", "service"},
        {Valid + "deadline_ms = 49\n", "line 9", "class.reads.deadline_ms"},
        {"[service.almanac]\n", "line 1", "class"},
    };
    for (const Case &item : cases) {
        const std::string error = parseError(item.text);
        BOOST_TEST_CONTEXT(item.text << error)
        {
            BOOST_TEST(error.starts_with(item.line + ":"));
            BOOST_TEST(error.find(item.key) != std::string::npos);
            BOOST_TEST(error.find("; ") != std::string::npos);
        }
    }
}

// Guards against example declarations that the agents reject after a change of the format.
BOOST_AUTO_TEST_CASE(examples_are_valid)
{
    for (const char *path : {"examples/tidemark.toml", "examples/groyne.toml"}) {
        std::ifstream file(path);
        std::ostringstream text;
        text << file.rdbuf();
        BOOST_TEST(parseDeclaration(text.str()).classes.size() == 3U);
    }
}

// Guards against input that crashes the parser or makes it throw an exception other than
// DeclarationError, which would end the agent.
BOOST_AUTO_TEST_CASE(no_input_crashes_the_parser)
{
    BOOST_TEST(rc::check("any bytes", [](const std::string &text) { parseError(text); }));
    BOOST_TEST(rc::check("a damaged declaration", [] {
        std::string text = Valid;
        const auto damages = *rc::gen::inRange(1, 8);
        for (int i = 0; i < damages; ++i) {
            const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
            const auto length = *rc::gen::inRange<std::size_t>(0, 6);
            const auto piece = *rc::gen::element<std::string>(
                "", "[", "]", "\"", "=", "\n", "[[class]]", "{}", "-1", "\xff", "[class.reads]");
            text.replace(position, length, piece);
        }
        parseError(text);
    }));
}

// Guards against values of a declaration that are parsed to other values than were written.
BOOST_AUTO_TEST_CASE(written_values_are_read_back)
{
    BOOST_TEST(rc::check("values", [] {
        const auto within = *rc::gen::inRange(1, 600001);
        const auto bytes = *rc::gen::inRange(0, 1000001);
        const auto repeatable = *rc::gen::arbitrary<bool>();
        std::ostringstream text;
        text << "[measuring]\nbytes_per_second = " << bytes << "\n[service.s]\n[class.c]\n"
             << "service = \"s\"\nanswer_within_ms = " << within
             << "\nrepeatable = " << (repeatable ? "true" : "false") << "\n";
        const Declaration parsed = parseDeclaration(text.str());
        const ClassTarget &target = parsed.classes.at(ClassName("c"));
        RC_ASSERT(target.answerWithin.count() == within);
        RC_ASSERT(parsed.measuring.bytesPerSecond == static_cast<std::uint64_t>(bytes));
        RC_ASSERT(target.repeatable == repeatable);
        RC_ASSERT(target.deadline >= target.answerWithin);
    }));
}

// Guards against added, removed or changed keys that the command 'diff' does not show.
BOOST_AUTO_TEST_CASE(diff_lists_each_change)
{
    const Declaration before = parseDeclaration(Valid);
    std::string text = withReplaced("= 50", "= 40") + "[service.keyer]\n[class.sends]\n"
        + "service = \"keyer\"\nanswer_within_ms = 9\nrepeatable = false\n";
    text.replace(text.find("= 100"), 5, "= 200");
    std::vector<std::string> changes;
    for (const DeclarationChange &change : diffDeclarations(before, parseDeclaration(text))) {
        changes.push_back(change.toString());
    }
    const std::vector<std::string> expected{
        "measuring.bytes_per_second: 100 -> 200", "service.keyer: added",
        "class.reads.answer_within_ms: 50 -> 40", "class.reads.deadline_ms: 500 -> 400",
        "class.sends: added"};
    BOOST_TEST(changes == expected, boost::test_tools::per_element());
    BOOST_TEST(diffDeclarations(before, before).empty());
    BOOST_TEST(diffDeclarations(parseDeclaration(text), before).back().toString()
               == "class.sends: removed");
}

BOOST_AUTO_TEST_SUITE_END()
