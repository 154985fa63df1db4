#ifndef BRONZESHED_BASE_SETTINGS_H
#define BRONZESHED_BASE_SETTINGS_H

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bronzeshed {

/** An IP address and a TCP port. */
struct Endpoint
{
    std::string host;
    std::uint16_t port = 0;

    std::string toString() const { return this->host + ":" + std::to_string(this->port); }
    auto operator<=>(const Endpoint &) const = default;
};

/**
 * Parses "host:port" with a numeric IPv4 address.
 * @param source origin of the text, such as a flag, for the error message
 * @throws SettingsError if the text is malformed
 */
Endpoint parseEndpoint(const std::string &text, const std::string &source);

/** A setting of a program, set by the flag --name or the environment variable BRONZESHED_NAME. */
struct SettingSpec
{
    std::string name;
    std::string fallback; ///< default value if neither flag nor variable is set
    std::string help;
    bool required = false;
    bool isSwitch = false; ///< a boolean flag without a value; true if present
};

/** Action requested on the command line: run, only check the settings (--check), or exit. */
enum class SettingsAction { Run, Check, Exit };

/**
 * The settings of one program, read from flags and, for absent flags, from the environment. Every
 * program also has the flags --help, --version and --check.
 */
class Settings
{
public:
    Settings(std::string program, std::string summary, std::vector<SettingSpec> specs);

    /**
     * Reads the settings. Prints the help text for --help and the version for --version.
     * @throws SettingsError with the flag and a remedy if a flag is unknown, incomplete or missing
     */
    SettingsAction parse(int argc, char *const *argv);

    const std::string &text(const std::string &name) const;
    bool isOn(const std::string &name) const;
    Endpoint endpoint(const std::string &name) const;
    /** @throws SettingsError if the value is not a number in [@p low, @p high] */
    std::uint64_t number(const std::string &name, std::uint64_t low, std::uint64_t high) const;
    std::chrono::milliseconds milliseconds(const std::string &name, std::uint64_t low,
                                           std::uint64_t high) const;
    /** Positional arguments. */
    const std::vector<std::string> &arguments() const { return this->positionalArguments; }

private:
    void printHelp() const;
    void readEnvironment();
    void requireAll() const;
    std::string source(const std::string &name) const;

    std::string program;
    std::string summary;
    std::vector<SettingSpec> specs;
    std::map<std::string, std::string> values;
    std::vector<std::string> positionalArguments;
};

/** Name of the environment variable for the flag @p name. */
std::string environmentName(std::string_view name);

} // namespace bronzeshed

#endif
