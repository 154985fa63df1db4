#include "base/settings.h"

#include "base/error.h"
#include "base/parsenumber.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cstdlib>
#include <getopt.h>
#include <iostream>

#ifndef BRONZESHED_VERSION
#define BRONZESHED_VERSION "0.1.0"
#endif

namespace bronzeshed {

namespace {

} // namespace

std::string environmentName(std::string_view name)
{
    std::string result = "BRONZESHED_";
    for (const char character : name) {
        const auto byte = static_cast<unsigned char>(character);
        result += character == '-' ? '_' : static_cast<char>(std::toupper(byte));
    }
    return result;
}

Endpoint parseEndpoint(const std::string &text, const std::string &source)
{
    const auto colon = text.rfind(':');
    const std::string remedy = "give an IPv4 address and a port such as 127.0.0.1:8080";
    if (colon == std::string::npos) {
        throw SettingsError(source + ": '" + text + "' has no port", remedy);
    }
    Endpoint endpoint;
    endpoint.host = text.substr(0, colon);
    in_addr parsed{};
    if (::inet_pton(AF_INET, endpoint.host.c_str(), &parsed) != 1) {
        throw SettingsError(source + ": '" + endpoint.host + "' is not an IPv4 address", remedy);
    }
    const auto port = parseNumber(std::string_view(text).substr(colon + 1));
    if (!port || *port > UINT16_MAX) {
        throw SettingsError(source + ": '" + text + "' has no port from 0 to 65535", remedy);
    }
    endpoint.port = static_cast<std::uint16_t>(*port);
    return endpoint;
}

Settings::Settings(std::string program, std::string summary, std::vector<SettingSpec> specs)
    : program(std::move(program))
    , summary(std::move(summary))
    , specs(std::move(specs))
{
}

SettingsAction Settings::parse(int argc, char *const *argv)
{
    std::vector<option> options;
    for (const SettingSpec &spec : this->specs) {
        const int argument = spec.isSwitch ? no_argument : required_argument;
        options.push_back({spec.name.c_str(), argument, nullptr, 0});
    }
    const int firstBuiltin = static_cast<int>(options.size());
    options.push_back({"help", no_argument, nullptr, 0});
    options.push_back({"version", no_argument, nullptr, 0});
    options.push_back({"check", no_argument, nullptr, 0});
    options.push_back({nullptr, 0, nullptr, 0});

    bool check = false;
    optind = 0;
    opterr = 0;
    while (true) {
        int index = -1;
        const int code = ::getopt_long(argc, argv, ":", options.data(), &index);
        if (code == -1) {
            break;
        }
        if (code == ':' || code == '?') {
            const std::string flag = argv[optind - 1];
            const std::string problem = code == ':' ? " needs a value" : " is not a known flag";
            throw SettingsError("flag '" + flag + "'" + problem,
                                "run '" + this->program + " --help' for the list of flags");
        }
        if (index == firstBuiltin) {
            this->printHelp();
            return SettingsAction::Exit;
        }
        if (index == firstBuiltin + 1) {
            std::cout << this->program << " " << BRONZESHED_VERSION << "\n";
            return SettingsAction::Exit;
        }
        if (index == firstBuiltin + 2) {
            check = true;
            continue;
        }
        const SettingSpec &spec = this->specs[static_cast<std::size_t>(index)];
        this->values[spec.name] = spec.isSwitch ? "true" : optarg;
    }
    this->positionalArguments.assign(argv + optind, argv + argc);
    this->readEnvironment();
    this->requireAll();
    return check ? SettingsAction::Check : SettingsAction::Run;
}

void Settings::readEnvironment()
{
    for (const SettingSpec &spec : this->specs) {
        if (this->values.contains(spec.name)) {
            continue;
        }
        const char *value = std::getenv(environmentName(spec.name).c_str());
        this->values[spec.name] = value != nullptr ? value : spec.fallback;
    }
}

void Settings::requireAll() const
{
    for (const SettingSpec &spec : this->specs) {
        if (spec.required && this->text(spec.name).empty()) {
            throw SettingsError("flag --" + spec.name + " is not given",
                                "pass it or set " + environmentName(spec.name));
        }
    }
}

std::string Settings::source(const std::string &name) const
{
    return "flag --" + name + " (" + environmentName(name) + ")";
}

const std::string &Settings::text(const std::string &name) const
{
    return this->values.at(name);
}

bool Settings::isOn(const std::string &name) const
{
    const std::string &value = this->text(name);
    if (value == "true" || value == "1") {
        return true;
    }
    if (value.empty() || value == "false" || value == "0") {
        return false;
    }
    throw SettingsError(this->source(name) + ": '" + value + "' is not a boolean",
                        "use true or false");
}

Endpoint Settings::endpoint(const std::string &name) const
{
    return parseEndpoint(this->text(name), this->source(name));
}

std::uint64_t Settings::number(const std::string &name, std::uint64_t low, std::uint64_t high) const
{
    const auto number = parseNumber(this->text(name));
    if (!number || *number < low || *number > high) {
        throw SettingsError(this->source(name) + ": '" + this->text(name) + "' is out of range",
                            "give a whole number from " + std::to_string(low) + " to "
                                + std::to_string(high));
    }
    return *number;
}

std::chrono::milliseconds Settings::milliseconds(const std::string &name, std::uint64_t low,
                                                 std::uint64_t high) const
{
    return std::chrono::milliseconds(this->number(name, low, high));
}

void Settings::printHelp() const
{
    std::cout << "Usage: " << this->program << " [flags]\n" << this->summary << "\n\nFlags:\n";
    for (const SettingSpec &spec : this->specs) {
        std::cout << "  --" << spec.name << (spec.isSwitch ? "" : " VALUE") << "\n      "
                  << spec.help;
        if (!spec.fallback.empty()) {
            std::cout << " (default " << spec.fallback << ")";
        }
        std::cout << "\n      environment: " << environmentName(spec.name) << "\n";
    }
    std::cout << "  --check\n      check the settings and exit\n"
              << "  --help\n      print this text and exit\n"
              << "  --version\n      print the version and exit\n";
}

} // namespace bronzeshed
