#include "base/program.h"
#include "standins/timerthread.h"
#include "standins/upstreamhandler.h"

namespace bronzeshed {

namespace {

constexpr std::uint64_t MaxSlots = 1000;
constexpr std::uint64_t MaxMicros = 10000000;
constexpr std::uint64_t MaxMs = 600000;
constexpr std::chrono::seconds SignalPoll{1};

UpstreamOptions readOptions(const Settings &settings)
{
    UpstreamOptions options;
    options.id = settings.text("id");
    options.slots = static_cast<unsigned>(settings.number("slots", 1, MaxSlots));
    options.meanWork = std::chrono::microseconds(settings.number("work-us", 1, MaxMicros));
    options.maxQueue = settings.number("queue", 0, MaxSlots);
    options.latency = std::chrono::microseconds(settings.number("latency-us", 0, MaxMicros));
    options.connectLatency
        = std::chrono::microseconds(settings.number("connect-latency-us", 0, MaxMicros));
    options.reportLag = settings.milliseconds("report-lag-ms", 0, MaxMs);
    options.coldStart = settings.milliseconds("cold-ms", 0, MaxMs);
    options.noisy = settings.isOn("noisy");
    return options;
}

int runUpstream(const Settings &settings)
{
    SignalMonitor signals;
    const SystemClock clock;
    UpstreamHandler handler(readOptions(settings), clock, makeSystemRandom().next());
    const TimerThread timers(handler);
    HttpServer server(settings.endpoint("listen"), HttpLimits{}, handler);
    printAddress("listening", server.localEndpoint());
    while (signals.wait(SignalPoll) == StopRequest::None) { }
    server.stop();
    return 0;
}

void checkSettings(const Settings &settings)
{
    settings.endpoint("listen");
    readOptions(settings);
}

} // namespace

} // namespace bronzeshed

int main(int argc, char **argv)
{
    using namespace bronzeshed;
    const std::vector<SettingSpec> specs{
        {"listen", "127.0.0.1:0", "address to listen on"},
        {"id", "upstream", "name of this upstream, sent with each answer"},
        {"slots", "2", "requests run at the same time"},
        {"work-us", "5000", "mean work of a request in microseconds"},
        {"queue", "16", "requests that wait; more are refused"},
        {"latency-us", "0", "one-way latency in microseconds, added to requests and answers"},
        {"connect-latency-us", "0", "latency in microseconds of opening a connection"},
        {"report-lag-ms", "500", "age of what /health and /load show"},
        {"cold-ms", "0", "time after the start at a third of the speed"},
        {"noisy", "", "work at a third of the speed at random times", false, true},
    };
    Settings settings("standin-upstream", "Stand-in for an upstream server.", specs);
    return runProgram(argc, argv, settings, checkSettings, runUpstream);
}
