#include "base/program.h"
#include "ctl/ctlcommands.h"
#include "http/httpclient.h"

#include <iostream>
#include <thread>

namespace bronzeshed {

namespace {

/** Sends each request over a new connection. */
class HttpSender : public RequestSender
{
public:
    HttpResponse send(const Endpoint &endpoint, const HttpRequest &request,
                      std::chrono::milliseconds timeout) override
    {
        return sendHttpRequest(endpoint, request, timeout);
    }
};

int runCtl(const Settings &settings)
{
    const CtlOptions options = readCtlOptions(settings);
    HttpSender sender;
    AgentClient client(options.agents, options.token, sender);
    SystemClock clock;
    SeededRandom random = makeSystemRandom();
    const auto sleep = [](std::chrono::milliseconds time) { std::this_thread::sleep_for(time); };
    return static_cast<int>(CtlCommands(options, client, clock, sleep, random, std::cout).run());
}

} // namespace

} // namespace bronzeshed

int main(int argc, char **argv)
{
    using namespace bronzeshed;
    Settings settings = makeCtlSettings();
    const auto check = [](const Settings &given) { readCtlOptions(given); };
    return runProgram(argc, argv, settings, check, runCtl);
}
