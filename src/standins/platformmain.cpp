#include "base/program.h"
#include "standins/platformhandler.h"
#include "standins/timerthread.h"

namespace bronzeshed {

namespace {

constexpr std::chrono::seconds SignalPoll{1};

int runPlatform(const Settings &settings)
{
    SignalMonitor signals;
    const SystemClock clock;
    PlatformHandler handler(clock);
    const TimerThread timers(handler);
    HttpServer server(settings.endpoint("listen"), HttpLimits{}, handler);
    printAddress("listening", server.localEndpoint());
    while (signals.wait(SignalPoll) == StopRequest::None) { }
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
