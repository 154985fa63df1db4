#ifndef BRONZESHED_BASE_PROGRAM_H
#define BRONZESHED_BASE_PROGRAM_H

#include "base/clock.h"
#include "base/settings.h"

#include <functional>

namespace bronzeshed {

/** What a signal asked the program to do. */
enum class StopRequest { None, Graceful, Immediate };

/**
 * Signals of a process. Blocks SIGTERM and SIGINT in all threads started later and ignores SIGPIPE.
 * The second signal asks for an immediate end.
 */
class SignalMonitor
{
public:
    /** Must be constructed before any thread is started. */
    SignalMonitor();

    /** Waits at most @p timeout for a signal. */
    StopRequest wait(Duration timeout);

private:
    unsigned received = 0;
};

/**
 * Runs a program: reads its settings, sets up logging and reports errors.
 * @param run the program's work; its result is the exit code
 * @param check further checks of the settings, run before @p run and for --check
 * @return exit code: 0 success, 1 failure, 2 bad settings
 */
int runProgram(int argc, char *const *argv, Settings &settings,
               const std::function<void(const Settings &)> &check,
               const std::function<int(const Settings &)> &run);

} // namespace bronzeshed

#endif
