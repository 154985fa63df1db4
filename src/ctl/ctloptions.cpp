#include "ctl/ctloptions.h"

#include "base/error.h"

#include <array>
#include <sstream>

namespace bronzeshed {

namespace {

constexpr std::uint64_t MaxWaitMs = 600000;
constexpr std::uint64_t MaxLimit = 1000000;

/** What a command takes and needs. */
struct CommandSpec
{
    const char *name;
    bool hasArgument;
    bool usesAgent;
    bool changes;
};

constexpr std::array<CommandSpec, 7> Commands{{{"validate", true, false, false},
                                               {"diff", true, true, false},
                                               {"apply", true, true, true},
                                               {"status", false, true, false},
                                               {"leave", true, true, true},
                                               {"return", true, true, true},
                                               {"history", false, true, false}}};

const std::string Usage = "use validate FILE, diff FILE, apply FILE, status, leave ID, return ID "
                          "or history";

const CommandSpec &findCommand(const std::string &name)
{
    for (const CommandSpec &command : Commands) {
        if (name == command.name) {
            return command;
        }
    }
    throw SettingsError("command '" + name + "' is not known", Usage);
}

std::vector<Endpoint> readAgents(const std::string &list)
{
    std::vector<Endpoint> agents;
    std::istringstream stream(list);
    for (std::string item; std::getline(stream, item, ',');) {
        agents.push_back(parseEndpoint(item, "flag --agent (BRONZESHED_AGENT)"));
    }
    return agents;
}

} // namespace

Settings makeCtlSettings()
{
    return {"bronzeshedctl COMMAND",
            "Operates a bronzeshed fleet. Commands: validate FILE, diff FILE, apply FILE, status, "
            "leave ID, return ID, history.\nExit codes: 0 done, 1 failed, 2 bad usage, 3 conflict, "
            "4 outcome unknown.",
            {{"agent", "", "operator addresses of agents, separated by commas"},
             {"operator", "", "your name, for the audit trail"},
             {"token", "", "the agents' operator token; set it by the environment only"},
             {"wait-ms", "0", "how long apply waits until the version is in force everywhere"},
             {"base-version", "", "version that the file was derived from (default: the newest)"},
             {"limit", "100", "most audit entries that history prints"},
             {"format", "text", "text or json"}}};
}

CtlOptions readCtlOptions(const Settings &settings)
{
    const auto &arguments = settings.arguments();
    if (arguments.empty()) {
        throw SettingsError("there is no command", Usage);
    }
    const CommandSpec &command = findCommand(arguments[0]);
    if (arguments.size() != (command.hasArgument ? 2U : 1U)) {
        throw SettingsError("command '" + arguments[0] + "' has too few or too many arguments",
                            Usage);
    }
    CtlOptions options;
    options.command = arguments[0];
    options.argument = command.hasArgument ? arguments[1] : "";
    options.agents = readAgents(settings.text("agent"));
    options.operatorName = settings.text("operator");
    options.token = settings.text("token");
    options.wait = settings.milliseconds("wait-ms", 0, MaxWaitMs);
    options.limit = settings.number("limit", 1, MaxLimit);
    if (!settings.text("base-version").empty()) {
        options.baseVersion = settings.number("base-version", 0, INT64_MAX);
    }
    options.json = settings.text("format") == "json";
    if (!options.json && settings.text("format") != "text") {
        throw SettingsError("flag --format is neither text nor json", "use text or json");
    }
    if (command.usesAgent && options.agents.empty()) {
        throw SettingsError("flag --agent is not given", "name the operator address of an agent");
    }
    if (command.changes && options.operatorName.empty()) {
        throw SettingsError("flag --operator is not given", "give your name for the audit trail");
    }
    return options;
}

} // namespace bronzeshed
