#include "base/program.h"
#include "replay/replay.h"
#include "replay/tracegenerator.h"

#include <fstream>
#include <iostream>
#include <sstream>

namespace bronzeshed {

namespace {

constexpr std::uint64_t MaxCallsPerSecond = 100000;
constexpr std::uint64_t MaxSeconds = 3600;
constexpr std::uint64_t MaxGraceMs = 600000;
constexpr std::uint64_t MaxLatencyUs = 1000000;

std::vector<Endpoint> readEndpoints(const Settings &settings, const std::string &name)
{
    std::vector<Endpoint> endpoints;
    std::istringstream list(settings.text(name));
    std::string item;
    while (std::getline(list, item, ',')) {
        endpoints.push_back(parseEndpoint(item, "flag --" + name));
    }
    return endpoints;
}

std::chrono::microseconds readLatency(const Settings &settings, const std::string &name)
{
    return std::chrono::microseconds(settings.number(name, 0, MaxLatencyUs));
}

std::ifstream openInput(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        throw SettingsError("cannot read '" + path + "'", "check the path and its permissions");
    }
    return file;
}

TraceProfile readProfile(const Settings &settings)
{
    TraceProfile profile = makeTraceProfile(settings.text("profile"));
    const std::uint64_t rate = settings.number("rate", 0, MaxCallsPerSecond);
    profile.callsPerSecond = rate > 0 ? static_cast<double>(rate) : profile.callsPerSecond;
    profile.length = std::chrono::seconds(settings.number("seconds", 1, MaxSeconds));
    return profile;
}

int generate(const Settings &settings)
{
    SeededRandom random(settings.number("seed", 0, UINT64_MAX));
    for (const TraceCall &call : generateTrace(readProfile(settings), random)) {
        std::cout << formatTraceCall(call) << "\n";
    }
    return std::cout.flush() ? 0 : 1;
}

int replay(const Settings &settings)
{
    ReplayOptions options;
    std::ifstream trace = openInput(settings.text("trace"));
    options.trace = parseTrace(trace);
    std::stringstream declaration;
    declaration << openInput(settings.text("declaration")).rdbuf();
    options.declaration = parseDeclaration(declaration.str());
    options.targets = readEndpoints(settings, "targets");
    options.upstreams = readEndpoints(settings, "upstreams");
    options.caller.direct = settings.isOn("direct");
    options.caller.callerLatency = readLatency(settings, "caller-latency-us");
    options.caller.regionLatency = readLatency(settings, "region-latency-us");
    options.grace = settings.milliseconds("grace-ms", 0, MaxGraceMs);
    std::ofstream latencies;
    if (!settings.text("latencies").empty()) {
        latencies.open(settings.text("latencies"));
        options.latencies = &latencies;
    }
    return replayTrace(options, std::cout) ? 0 : 1;
}

int run(const Settings &settings)
{
    return settings.isOn("generate") ? generate(settings) : replay(settings);
}

void checkSettings(const Settings &settings)
{
    if (settings.isOn("generate")) {
        readProfile(settings);
        return;
    }
    readLatency(settings, "caller-latency-us");
    readLatency(settings, "region-latency-us");
    if (readEndpoints(settings, "targets").empty()) {
        throw SettingsError("flag --targets is missing", "specify at least one address");
    }
    if (readEndpoints(settings, "upstreams").empty()) {
        throw SettingsError("flag --upstreams is missing",
                            "specify the upstream stand-ins, which count the executions");
    }
}

} // namespace

} // namespace bronzeshed

int main(int argc, char **argv)
{
    using namespace bronzeshed;
    const std::vector<SettingSpec> specs{
        {"trace", "", "trace file to replay"},
        {"declaration", "", "declaration with the classes of the trace"},
        {"targets", "", "addresses of entries to query by lookups, separated by commas"},
        {"upstreams", "", "addresses of all upstream stand-ins, separated by commas"},
        {"direct", "", "call the targets directly as upstreams, without lookups", false, true},
        {"caller-latency-us", "0", "one-way latency between caller and entry in microseconds"},
        {"region-latency-us", "0",
         "one-way latency in microseconds, added for an entry of another region"},
        {"grace-ms", "30000", "time in milliseconds for open calls to end after the last start"},
        {"latencies", "", "file to write the latency of each answered call to"},
        {"generate", "", "print a generated trace instead of replaying one", false, true},
        {"profile", "tidemark", "profile of the generated trace: tidemark or groyne"},
        {"seed", "1", "seed of the generated trace"},
        {"rate", "0", "calls per second of the generated trace; 0 uses the rate of the profile"},
        {"seconds", "20", "length of the generated trace in seconds"},
    };
    Settings settings("bronzeshed-replay", "Replays the calls of a trace and checks each answer.",
                      specs);
    return runProgram(argc, argv, settings, checkSettings, run);
}
