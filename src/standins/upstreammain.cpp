#include "base/program.h"
#include "standins/upstreamhandler.h"

#include <algorithm>
#include <iostream>

namespace bronzeshed {

namespace {

constexpr std::uint64_t MaxSlots = 1000;
constexpr std::uint64_t MaxWorkUs = 10000000;
constexpr std::chrono::milliseconds TickPeriod{1};

UpstreamOptions readOptions(const Settings &settings)
{
    UpstreamOptions options;
    options.slots = static_cast<unsigned>(settings.number("slots", 1, MaxSlots));
    options.meanWork = std::chrono::microseconds(settings.number("work-us", 1, MaxWorkUs));
    return options;
}

int runUpstream(const Settings &settings)
{
    SignalMonitor signals;
    UpstreamHandler handler(readOptions(settings));
    HttpServer server(settings.endpoint("listen"), HttpLimits{}, handler);
    std::cout << "listening " << server.localEndpoint().toString() << std::endl;
    while (signals.wait(TickPeriod) == StopRequest::None) {
        handler.fire(std::chrono::steady_clock::now());
    }
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
    Settings settings("standin-upstream", "Stand-in for an upstream server.",
                      {{"listen", "127.0.0.1:0", "address to listen on"},
                       {"slots", "2", "requests run at the same time"},
                       {"work-us", "5000", "mean work of a request in microseconds"}});
    return runProgram(argc, argv, settings, checkSettings, runUpstream);
}
