#include "ctl/ctloptions.h"

#include "base/error.h"

#include <array>
#include <sstream>

namespace bronzeshed {

namespace {

constexpr std::uint64_t MaxWaitMs = 600000;
constexpr std::uint64_t MaxLimit = 1000000;

/** Arguments and requirements of a command. */
struct CommandSpec
{
    const char *name;
    bool hasArgument; ///< takes a file or an upstream id
    bool usesAgent;
    bool changes; ///< changes the configuration, so that --operator is required
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
    throw SettingsError("command '" + name + "' does not exist", Usage);
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
    return {
        "bronzeshedctl COMMAND",
        "Operates a bronzeshed fleet. Commands: validate FILE, diff FILE, apply FILE, status, "
        "leave ID, return ID, history.\nExit codes: 0 done, 1 failed, 2 invalid usage, 3 conflict, "
        "4 outcome unknown.",
        {{"agent", "", "operator addresses of agents, separated by commas"},
         {"operator", "", "name of the operator, recorded in the audit trail"},
         {"token", "", "operator token of the agents; set it through the environment only"},
         {"wait-ms", "0",
          "how long apply waits until the version is in force at all live instances"},
         {"base-version", "", "version on which the file is based (default: the newest)"},
         {"limit", "100", "largest number of audit entries that history prints"},
         {"format", "text", "text or json"}}};
}

CtlOptions readCtlOptions(const Settings &settings)
{
    const auto &arguments = settings.arguments();
    if (arguments.empty()) {
        throw SettingsError("no command is given", Usage);
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
        throw SettingsError("flag --agent is not given", "give the operator address of an agent");
    }
    if (command.changes && options.operatorName.empty()) {
        throw SettingsError("flag --operator is not given", "give your name for the audit trail");
    }
    return options;
}

} // namespace bronzeshed
