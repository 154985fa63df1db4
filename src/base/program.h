#ifndef BRONZESHED_BASE_PROGRAM_H
#define BRONZESHED_BASE_PROGRAM_H

#include "base/clock.h"
#include "base/settings.h"

#include <functional>
#include <string_view>

namespace bronzeshed {

/** Kind of stop that a signal requests. */
enum class StopRequest { None, Graceful, Immediate };

/**
 * Receives the stop signals of a process. Blocks SIGTERM and SIGINT in all threads started later
 * and ignores SIGPIPE. The first signal requests a graceful stop, every later one an immediate
 * stop.
 */
class SignalMonitor
{
public:
    /** Must be called before any thread is started. */
    SignalMonitor();

    /** Waits at most @p timeout for a signal. @return None if there was no signal */
    StopRequest wait(Duration timeout);

private:
    unsigned received = 0;
};

/**
 * Prints the line "LABEL ADDRESS" to standard output, for whoever starts the process. The line is
 * written at once, since other threads may log meanwhile.
 */
void printAddress(std::string_view label, const Endpoint &address);

/**
 * Runs a program: reads its settings, sets up logging and prints errors to standard error.
 * @param run main function of the program; its result is the exit code
 * @param check additional validation of the settings, called before @p run and for --check
 * @return exit code: 0 success, 1 failure, 2 invalid settings
 */
int runProgram(int argc, char *const *argv, Settings &settings,
               const std::function<void(const Settings &)> &check,
               const std::function<int(const Settings &)> &run);

} // namespace bronzeshed

#endif
