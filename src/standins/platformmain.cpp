#include "base/logline.h"
#include "base/program.h"
#include "standins/platformhandler.h"

#include <iostream>

namespace bronzeshed {

namespace {

constexpr std::chrono::milliseconds TickPeriod{100};

int runPlatform(const Settings &settings)
{
    SignalMonitor signals;
    PlatformHandler handler;
    HttpServer server(settings.endpoint("listen"), HttpLimits{}, handler);
    std::cout << "listening " << server.localEndpoint().toString() << std::endl;
    while (signals.wait(TickPeriod) == StopRequest::None) {
        handler.expireWatches(std::chrono::steady_clock::now());
    }
    server.stop();
    return 0;
}

} // namespace

} // namespace bronzeshed

int main(int argc, char **argv)
{
    using namespace bronzeshed;
    Settings settings("standin-platform", "Stand-in for the key-value store and instance list.",
                      {{"listen", "127.0.0.1:0", "address to listen on"}});
    const auto check = [](const Settings &given) { given.endpoint("listen"); };
    return runProgram(argc, argv, settings, check, runPlatform);
}
