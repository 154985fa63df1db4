#include "ctl/ctlcommands.h"

#include "base/error.h"
#include "config/declaration.h"
#include "config/declarationdiff.h"
#include "ctl/ctlreport.h"
#include "ctl/historyreport.h"

#include <boost/json.hpp>
#include <cstdio>
#include <fstream>
#include <sstream>

namespace bronzeshed {

namespace json = boost::json;

namespace {

constexpr std::chrono::milliseconds StatusPollInterval{100};

std::string readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file) {
        throw Error("cannot read file '" + path + "'", "check the file name and permissions");
    }
    return text.str();
}

/** Request target of a leave or return command, with the percent-encoded upstream id. */
std::string drainFlagTarget(const std::string &command, const std::string &upstream)
{
    std::string target = "/v1/" + command + "?upstream=";
    for (const unsigned char character : upstream) {
        char escaped[4];
        std::snprintf(escaped, sizeof escaped, "%%%02X", character);
        target += std::isalnum(character) != 0 || character == '-'
            ? std::string(1, static_cast<char>(character))
            : std::string(escaped);
    }
    return target;
}

/** The active declaration; empty if none was ever applied. */
Declaration currentDeclaration(const json::value &answer)
{
    const std::string text(answer.at("declaration").as_string());
    return text.empty() ? Declaration{} : parseDeclaration(text);
}

CtlExit exitCodeOf(ChangeReply::Outcome outcome)
{
    switch (outcome) {
    case ChangeReply::Outcome::Accepted:
        return CtlExit::Done;
    case ChangeReply::Outcome::Conflict:
        return CtlExit::Conflict;
    case ChangeReply::Outcome::Failed:
        return CtlExit::Failed;
    case ChangeReply::Outcome::Unknown:
    case ChangeReply::Outcome::ActiveNotRecorded:
        break;
    }
    return CtlExit::Unknown;
}

} // namespace

CtlCommands::CtlCommands(const CtlOptions &options, AgentClient &client, Clock &clock, Sleep sleep,
                         Random &random, std::ostream &output)
    : options(options)
    , client(client)
    , clock(clock)
    , sleep(std::move(sleep))
    , random(random)
    , output(output)
{
}

CtlExit CtlCommands::run()
{
    const std::string &command = this->options.command;
    if (command == "validate") {
        return this->validate();
    }
    if (command == "diff") {
        return this->diff();
    }
    if (command == "apply") {
        return this->apply();
    }
    if (command == "status") {
        return this->status();
    }
    return command == "history" ? this->history() : this->setDrainFlag();
}

CtlExit CtlCommands::validate()
{
    const Declaration declaration = parseDeclaration(readFile(this->options.argument));
    if (this->options.json) {
        this->output << json::serialize(json::value{{"outcome", "valid"}}) << "\n";
    } else {
        this->output << "valid: " << declaration.classes.size() << " classes, "
                     << declaration.services.size() << " services\n";
    }
    return CtlExit::Done;
}

CtlExit CtlCommands::diff()
{
    const Declaration after = parseDeclaration(readFile(this->options.argument));
    const json::value current = this->client.read("/v1/declaration");
    const auto changes = diffDeclarations(currentDeclaration(current), after);
    if (this->options.json) {
        json::array list;
        for (const DeclarationChange &change : changes) {
            list.emplace_back(change.toString());
        }
        const json::value body{{"version", current.at("version")}, {"changes", list}};
        this->output << json::serialize(body) << "\n";
        return CtlExit::Done;
    }
    this->output << "compared with version " << current.at("version").as_int64() << ": "
                 << changes.size() << " changes\n";
    for (const DeclarationChange &change : changes) {
        this->output << "  " << change.toString() << "\n";
    }
    return CtlExit::Done;
}

CtlExit CtlCommands::apply()
{
    HttpRequest request;
    request.method = "PUT";
    request.target = "/v1/declaration";
    request.body = readFile(this->options.argument);
    parseDeclaration(request.body);
    std::string base = this->options.baseVersion ? std::to_string(*this->options.baseVersion) : "";
    if (base.empty()) {
        base = std::to_string(this->client.read("/v1/declaration").at("version").as_int64());
    }
    request.headers.add("Base-Version", base);
    const ChangeReply reply
        = this->client.change(request, this->options.operatorName, this->newWriteId());
    const CtlExit code = this->report(reply);
    if (code != CtlExit::Done || this->options.wait == std::chrono::milliseconds::zero()) {
        return code;
    }
    return this->waitUntilActive(reply.version);
}

CtlExit CtlCommands::setDrainFlag()
{
    HttpRequest request;
    request.method = "POST";
    request.target = drainFlagTarget(this->options.command, this->options.argument);
    return this->report(
        this->client.change(request, this->options.operatorName, this->newWriteId()));
}

CtlExit CtlCommands::status()
{
    const json::value answer = this->client.read("/v1/status?calls=1");
    this->output << (this->options.json ? json::serialize(answer) + "\n" : formatStatus(answer));
    return CtlExit::Done;
}

CtlExit CtlCommands::history()
{
    const HistoryReport report = readHistory(this->client, this->options.limit);
    this->output << formatHistory(report, this->options.json);
    return report.problem.empty() ? CtlExit::Done : CtlExit::Failed;
}

CtlExit CtlCommands::waitUntilActive(std::uint64_t version)
{
    const TimePoint start = this->clock.now();
    RolloutState state;
    bool complete = false;
    while (true) {
        try {
            state = readRolloutState(this->client.read("/v1/status"), version);
            complete = state.live > 0 && state.behind.empty();
        } catch (const UnavailableError &error) {
            state.problem = error.what();
        }
        if (complete || this->clock.now() - start >= this->options.wait) {
            break;
        }
        this->sleep(StatusPollInterval);
    }
    const auto elapsed
        = std::chrono::duration_cast<std::chrono::milliseconds>(this->clock.now() - start);
    this->output << formatRolloutState(state, complete, elapsed, this->options.json);
    return complete ? CtlExit::Done : CtlExit::Failed;
}

CtlExit CtlCommands::report(const ChangeReply &reply)
{
    this->output << formatReply(reply, this->options.json);
    return exitCodeOf(reply.outcome);
}

std::string CtlCommands::newWriteId()
{
    char buffer[33];
    std::snprintf(buffer, sizeof buffer, "%016llx%016llx",
                  static_cast<unsigned long long>(this->random.next()),
                  static_cast<unsigned long long>(this->random.next()));
    return buffer;
}

} // namespace bronzeshed
