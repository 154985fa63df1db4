#include "base/error.h"
#include "ctl/ctlcommands.h"
#include "http/httpclient.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <fstream>
#include <sstream>

using namespace bronzeshed;

namespace {

const Endpoint FirstAgent{"127.0.0.1", 1};
const Endpoint SecondAgent{"127.0.0.1", 2};
const std::string Example = "examples/tidemark.toml";
const std::string Declaration4 = R"({"version":4,"declaration":""})";

/** Records requests and returns scripted responses. */
class ScriptedSender : public RequestSender
{
public:
    struct Step
    {
        unsigned status = 200; ///< HTTP status; 0: request not sent; 1: sent without a response
        std::string body;
    };

    std::deque<Step> steps;
    std::vector<std::pair<Endpoint, HttpRequest>> sent;

    HttpResponse send(const Endpoint &endpoint, const HttpRequest &request,
                      std::chrono::milliseconds /*timeout*/) override
    {
        this->sent.emplace_back(endpoint, request);
        BOOST_REQUIRE(!this->steps.empty());
        Step step = this->steps.front();
        this->steps.pop_front();
        if (step.status <= 1) {
            throw HttpClientError("no answer", step.status == 1);
        }
        // The command generates the write id, so the script contains a placeholder for it.
        const std::string id = this->sent.front().second.headers.find("Write-Id").value_or("");
        if (const auto place = step.body.find("$ID"); place != std::string::npos) {
            step.body.replace(place, 3, id);
        }
        return makeJsonResponse(step.status, step.body);
    }
};

/** Runs one command with two configured agents. */
struct Run
{
    ScriptedSender sender;
    CtlOptions options;
    std::ostringstream output;

    Run(const std::string &command, const std::string &argument,
        std::deque<ScriptedSender::Step> steps)
    {
        this->sender.steps = std::move(steps);
        this->options.command = command;
        this->options.argument = argument;
        this->options.agents = {FirstAgent, SecondAgent};
        this->options.operatorName = "anna";
        this->options.token = "secret";
        this->options.baseVersion = 4;
    }

    CtlExit run()
    {
        AgentClient client(this->options.agents, this->options.token, this->sender);
        ManualClock clock;
        SeededRandom random(1);
        const auto sleep = [&clock](std::chrono::milliseconds time) { clock.advance(time); };
        return CtlCommands(this->options, client, clock, sleep, random, this->output).run();
    }

    bool printed(const std::string &text) const
    {
        return this->output.str().find(text) != std::string::npos;
    }
};

CtlOptions readOptions(std::vector<std::string> arguments)
{
    arguments.insert(arguments.begin(), "bronzeshedctl");
    std::vector<char *> pointers;
    pointers.reserve(arguments.size() + 1);
    for (std::string &argument : arguments) {
        pointers.push_back(argument.data());
    }
    pointers.push_back(nullptr);
    Settings settings = makeCtlSettings();
    settings.parse(static_cast<int>(arguments.size()), pointers.data());
    return readCtlOptions(settings);
}

} // namespace

BOOST_AUTO_TEST_SUITE(ctl)

// An operator mistypes a command, leaves out an argument or a flag, or passes an invalid value.
// Guards against a command that runs all the same, with some of its options missing.
BOOST_AUTO_TEST_CASE(rejects_invalid_usage)
{
    using Arguments = std::vector<std::string>;
    for (const Arguments &arguments : {Arguments{},
                                       {"aply", "f"},
                                       {"apply"},
                                       {"status", "x"},
                                       {"status"},
                                       {"apply", "f", "--agent", "127.0.0.1:1"},
                                       {"status", "--agent", "localhost:1"},
                                       {"validate", "f", "--format", "xml"},
                                       {"validate", "f", "--wait-ms", "-1"}}) {
        BOOST_CHECK_THROW(readOptions(arguments), SettingsError);
    }
    const CtlOptions options
        = readOptions({"apply", "f", "--agent", "127.0.0.1:1,127.0.0.1:2", "--operator", "anna"});
    BOOST_TEST((options.agents == std::vector<Endpoint>{FirstAgent, SecondAgent}));
}

// Covers each outcome that an agent reports, a malformed body and an outcome of a newer version.
// Guards against an exit code from which a script infers another outcome, above all success.
BOOST_AUTO_TEST_CASE(maps_each_outcome_to_an_exit_code)
{
    struct Case
    {
        unsigned status;
        std::string body;
        CtlExit code;
    };
    const std::vector<Case> cases{
        {200, R"({"outcome":"accepted","version":5})", CtlExit::Done},
        {409, R"({"outcome":"conflict","operator":"ben","version":6})", CtlExit::Conflict},
        {422, R"({"outcome":"refused","error":"x; y"})", CtlExit::Failed},
        {503, R"({"outcome":"store_unavailable","error":"x; y"})", CtlExit::Failed},
        {504, R"({"outcome":"unknown","error":"x; y"})", CtlExit::Unknown},
        {202, R"({"outcome":"in_force_not_recorded"})", CtlExit::Unknown},
        {200, "garbage", CtlExit::Unknown},
        {200, R"({"outcome":"new-word"})", CtlExit::Unknown},
    };
    for (const Case &item : cases) {
        Run run("apply", Example, {{item.status, item.body}});
        BOOST_TEST_CONTEXT(item.body)
        {
            BOOST_TEST((run.run() == item.code));
            BOOST_TEST(run.printed("accepted as") == (item.code == CtlExit::Done));
        }
    }
}

// The first agent is unreachable, or the connection fails after the request was sent. Guards
// against a change that is sent twice, and against success reported after a lost response without
// proof from the history.
BOOST_AUTO_TEST_CASE(fails_over_only_if_the_change_was_not_sent)
{
    Run next("leave", "almanac 1", {{0, ""}, {200, R"({"outcome":"accepted","version":5})"}});
    BOOST_TEST((next.run() == CtlExit::Done));
    BOOST_TEST((next.sender.sent[1].first == SecondAgent));
    BOOST_TEST(next.sender.sent[1].second.target == "/v1/leave?upstream=almanac%201");
    BOOST_TEST(*next.sender.sent[1].second.headers.find("Authorization") == "Bearer secret");

    Run unreachable("leave", "a", {{0, ""}, {0, ""}});
    BOOST_TEST((unreachable.run() == CtlExit::Failed));

    const std::string other = R"({"version":5,"archived_pages":0,"entries":[]})";
    Run lost("apply", Example, {{1, ""}, {0, ""}, {200, other}});
    BOOST_TEST((lost.run() == CtlExit::Unknown));
    for (std::size_t i = 1; i < lost.sender.sent.size(); ++i) {
        BOOST_TEST(lost.sender.sent[i].second.method == "GET");
    }

    const std::string found = R"({"version":5,"entries":[{"write_id":"$ID","to":5}]})";
    Run resolved("apply", Example, {{1, ""}, {200, found}});
    BOOST_TEST((resolved.run() == CtlExit::Done));
    BOOST_TEST(resolved.printed("accepted as version 5"));
}

// After an accepted change, a live instance still has the older version or the status lists no
// instance. Guards against a version that is reported as in force before every live instance has
// it.
BOOST_AUTO_TEST_CASE(apply_waits_for_every_live_instance)
{
    const std::string accepted = R"({"outcome":"accepted","version":5})";
    const auto status = [](int first) {
        return R"({"instances":[{"id":"i1","state":"alive","version":)" + std::to_string(first)
            + R"(},{"id":"i2","state":"leaving","version":5},)"
            + R"({"id":"i3","state":"dead","version":1}]})";
    };
    Run run("apply", Example, {{200, accepted}, {200, status(4)}, {200, status(5)}});
    run.options.wait = std::chrono::milliseconds(1000);
    BOOST_TEST((run.run() == CtlExit::Done));
    BOOST_TEST(run.printed("in force at all 2 live instances after 100 ms"));

    Run late("apply", Example, {{200, accepted}, {200, status(4)}, {200, status(4)}});
    late.options.wait = std::chrono::milliseconds(100);
    BOOST_TEST((late.run() == CtlExit::Failed));
    BOOST_TEST(late.printed("behind: i1;"));

    Run empty("apply", Example, {{200, accepted}, {200, R"({"instances":[]})"}});
    empty.options.wait = std::chrono::milliseconds(1);
    empty.sender.steps.push_back({200, R"({"instances":[]})"});
    BOOST_TEST((empty.run() == CtlExit::Failed));
}

// Guards against a class shown without its state, a share just below its target that is rounded up
// to it, and call counts shown as complete although some instances did not report theirs.
BOOST_AUTO_TEST_CASE(status_text_shows_which_targets_are_met)
{
    const auto item = [](const std::string &name, const std::string &lastMinute) {
        return R"({"name":")" + name + R"(","share":0.99,"answer_within_ms":50,"last_minute":)"
            + lastMinute + "}";
    };
    const std::string body = R"({"version":3,"instances":[],"upstreams":[],"classes":[)"
        + item("a", R"({"calls":200,"within_target":199,"state":"holds"})") + ","
        + item("b", R"({"calls":100000,"within_target":98999,"state":"missed"})") + ","
        + item("c", R"({"calls":0,"within_target":0,"state":"no calls"})")
        + R"(],"asked_instances":3,"counted_ms_ago":2500,"not_counted":["i1","i2"]})";
    Run run("status", "", {{200, body}});
    BOOST_TEST((run.run() == CtlExit::Done));
    BOOST_TEST(run.sender.sent[0].second.target == "/v1/status?calls=1");
    BOOST_TEST(run.printed("a  99% within 50 ms  200 calls  99.50% within target  holds\n"));
    BOOST_TEST(run.printed("b  99% within 50 ms  100000 calls  98.99% within target  missed\n"));
    BOOST_TEST(run.printed("c  99% within 50 ms  no calls\n"));
    BOOST_TEST(run.printed("not counted: 2 of 3 instances: i1, i2; counted 2 s ago\n"));
}

// Two archive pages overlap, the limit ends within a page, or a page cannot be read. Guards against
// archived entries that are missing, duplicated or out of order, and against a history that looks
// complete although a page could not be read.
BOOST_AUTO_TEST_CASE(history_reads_archived_pages_up_to_the_limit)
{
    const auto answer = [](std::initializer_list<int> versions) {
        std::string entries;
        for (const int version : versions) {
            const std::string number = std::to_string(version);
            entries += (entries.empty() ? "" : ",")
                + (R"({"time_ms":0,"from":0,"to":)" + number
                   + R"(,"operator":"o","action":"a","write_id":"w)" + number + R"("})");
        }
        return R"({"version":9,"archived_pages":2,"entries":[)" + entries + "]}";
    };
    const auto printedIds = [](const Run &run) {
        std::string ids;
        const std::string text = run.output.str();
        for (auto at = text.find("write id w"); at != std::string::npos;
             at = text.find("write id w", at + 1)) {
            ids += text[at + 10];
        }
        return ids;
    };
    Run all("history", "",
            {{200, answer({5, 6})}, {200, answer({3, 4})}, {200, answer({1, 2, 3})}});
    BOOST_TEST((all.run() == CtlExit::Done));
    BOOST_TEST(printedIds(all) == "654321");
    BOOST_TEST(all.sender.sent.at(1).second.target == "/v1/history?page=1");
    BOOST_TEST(all.sender.sent.at(2).second.target == "/v1/history?page=0");
    BOOST_TEST(!all.printed("older"));

    Run some("history", "", {{200, answer({5, 6})}, {200, answer({3, 4})}});
    some.options.limit = 3;
    BOOST_TEST((some.run() == CtlExit::Done));
    BOOST_TEST(printedIds(some) == "654");
    BOOST_TEST(some.printed("there are older entries"));

    Run broken("history", "", {{200, answer({5, 6})}, {503, "{}"}, {503, "{}"}});
    BOOST_TEST((broken.run() == CtlExit::Failed));
    BOOST_TEST(printedIds(broken) == "65");
    BOOST_TEST(broken.printed("older entries could not be read"));
}

// No base version is given. Guards against a diff that is not based on the newest version, and
// against an apply whose base version differs from the version that diff compares with.
BOOST_AUTO_TEST_CASE(apply_uses_the_newest_version_as_base)
{
    Run diff("diff", Example, {{200, Declaration4}});
    BOOST_TEST((diff.run() == CtlExit::Done));
    BOOST_TEST(diff.printed("compared with version 4: 6 changes"));
    Run apply("apply", Example,
              {{200, Declaration4}, {200, R"({"outcome":"accepted","version":5})"}});
    apply.options.baseVersion.reset();
    BOOST_TEST((apply.run() == CtlExit::Done));
    BOOST_TEST(*apply.sender.sent[1].second.headers.find("Base-Version") == "4");
    Run missing("validate", "no-such-file", {});
    BOOST_CHECK_THROW(missing.run(), Error);
}

BOOST_AUTO_TEST_SUITE_END()
