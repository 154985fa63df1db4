#include "base/program.h"

#include "base/error.h"
#include "base/logline.h"

#include <csignal>
#include <ctime>
#include <iostream>

namespace bronzeshed {

namespace {

constexpr int ExitFailure = 1;
constexpr int ExitBadSettings = 2;

sigset_t stopSignals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    return set;
}

} // namespace

SignalMonitor::SignalMonitor()
{
    const sigset_t set = stopSignals();
    ::pthread_sigmask(SIG_BLOCK, &set, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

StopRequest SignalMonitor::wait(Duration timeout)
{
    const sigset_t set = stopSignals();
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(timeout);
    timespec limit{};
    limit.tv_sec = seconds.count();
    limit.tv_nsec = (timeout - seconds).count();
    if (::sigtimedwait(&set, nullptr, &limit) < 0) {
        return StopRequest::None;
    }
    ++this->received;
    const bool first = this->received == 1;
    LogLine("signal_received").add("action", first ? "graceful_stop" : "immediate_stop");
    return first ? StopRequest::Graceful : StopRequest::Immediate;
}

void printAddress(std::string_view label, const Endpoint &address)
{
    std::cout << std::string(label) + " " + address.toString() + "\n" << std::flush;
}

int runProgram(int argc, char *const *argv, Settings &settings,
               const std::function<void(const Settings &)> &check,
               const std::function<int(const Settings &)> &run)
{
    try {
        const SettingsAction action = settings.parse(argc, argv);
        if (action == SettingsAction::Exit) {
            return 0;
        }
        check(settings);
        if (action == SettingsAction::Check) {
            std::cout << "settings are valid\n";
            return 0;
        }
    } catch (const SettingsError &error) {
        std::cerr << argv[0] << ": " << error.what() << "\n";
        return ExitBadSettings;
    }
    try {
        initLogging(argv[0]);
        return run(settings);
    } catch (const std::exception &error) {
        std::cerr << argv[0] << ": " << error.what() << "\n";
        return ExitFailure;
    }
}

} // namespace bronzeshed
