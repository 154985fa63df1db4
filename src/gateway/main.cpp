#include "base/error.h"
#include "base/logline.h"
#include "gateway/gatewayprocess.h"

#include <csignal>

namespace bronzeshed {

namespace {

constexpr std::chrono::milliseconds TickPeriod{250};
constexpr std::uint64_t MaxGraceMs = 600000;
constexpr std::uint64_t MaxLookupValidityS = 60;
constexpr std::uint64_t MaxLoadQueries = 16;
constexpr std::uint64_t MaxRepeatBurst = 100000;

std::vector<std::string> splitList(const std::string &text)
{
    std::vector<std::string> parts;
    std::size_t start = 0;
    while (start < text.size()) {
        const std::size_t end = std::min(text.find(',', start), text.size());
        parts.push_back(text.substr(start, end - start));
        start = end + 1;
    }
    return parts;
}

/** Parses "zone=region,zone=region". */
ZoneRegions readZones(const std::string &text)
{
    ZoneRegions regions;
    for (const std::string &part : splitList(text)) {
        const auto equals = part.find('=');
        if (equals == std::string::npos || equals == 0) {
            throw SettingsError("flag --zones: '" + part + "' is not of the form zone=region",
                                "list all zones as zone=region,zone=region");
        }
        regions[ZoneName(part.substr(0, equals))] = RegionName(part.substr(equals + 1));
    }
    return regions;
}

GatewayOptions readOptions(const Settings &settings)
{
    GatewayOptions options;
    options.instance = InstanceId(settings.text("instance"));
    options.region = RegionName(settings.text("region"));
    options.zone = ZoneName(settings.text("zone"));
    options.regions = readZones(settings.text("zones"));
    options.callers = settings.endpoint("listen");
    options.readiness = settings.endpoint("ready-listen");
    options.lookups = settings.endpoint("lookup-listen");
    options.peers = settings.endpoint("peer-listen");
    options.admin = settings.endpoint("admin-listen");
    options.store = settings.endpoint("store");
    for (const std::string &seed : splitList(settings.text("seeds"))) {
        options.seeds.push_back(parseEndpoint(seed, "flag --seeds"));
    }
    options.lookupValidity
        = std::chrono::seconds(settings.number("lookup-validity-s", 1, MaxLookupValidityS));
    options.grace = settings.milliseconds("grace-ms", 1, MaxGraceMs);
    options.fleetRepeatBurst
        = static_cast<double>(settings.number("repeat-burst", 0, MaxRepeatBurst));
    options.loadProbes = static_cast<unsigned>(settings.number("load-queries", 0, MaxLoadQueries));
    return options;
}

void checkSettings(const Settings &settings)
{
    readOptions(settings);
}

int runGateway(const Settings &settings)
{
    // Settings are not reloaded; the default action of SIGHUP would terminate the process.
    std::signal(SIGHUP, SIG_IGN);
    logToStandardOutput();
    SignalMonitor signals;
    GatewayProcess gateway(readOptions(settings));
    printAddress("listening", gateway.callerEndpoint());
    printAddress("lookups-listening", gateway.lookupEndpoint());
    printAddress("readiness-listening", gateway.readinessEndpoint());
    printAddress("admin-listening", gateway.adminEndpoint());
    LogLine("started")
        .add("instance", settings.text("instance"))
        .add("callers", gateway.callerEndpoint().toString())
        .add("lookups", gateway.lookupEndpoint().toString())
        .add("readiness", gateway.readinessEndpoint().toString())
        .add("admin", gateway.adminEndpoint().toString());
    while (signals.wait(TickPeriod) == StopRequest::None) {
        gateway.tick();
    }
    gateway.drain(signals);
    LogLine("stopped").add("instance", settings.text("instance"));
    return 0;
}

} // namespace

} // namespace bronzeshed

int main(int argc, char **argv)
{
    using namespace bronzeshed;
    const std::vector<SettingSpec> specs{
        {"instance", "", "name of this instance", true},
        {"region", "", "region of this instance", true},
        {"zone", "", "availability zone of this instance", true},
        {"zones", "", "all zones with their regions: zone=region,zone=region", true},
        {"listen", "", "address where callers connect", true},
        {"ready-listen", "", "address of the platform's readiness check", true},
        {"lookup-listen", "", "address of the lookup of entries, for callers", true},
        {"peer-listen", "", "address where other entries read the replica of the store", true},
        {"admin-listen", "127.0.0.1:0", "address of metrics, health and readiness"},
        {"store", "", "address of the platform's metadata store", true},
        {"seeds", "", "peer addresses of some other entries: address,address"},
        {"lookup-validity-s", "2", "time for which callers may cache a lookup result, in seconds"},
        {"grace-ms", "6000", "time from the stop signal to the forced kill, in milliseconds"},
        {"repeat-burst", "50", "largest burst of retries and hedges of the whole fleet"},
        {"load-queries", "5", "upstreams probed for their load before a call is placed"},
    };
    Settings settings("bronzeshed-gateway", "Serves callers on the users' platform.", specs);
    return runProgram(argc, argv, settings, checkSettings, runGateway);
}
