#ifndef BRONZESHED_TESTS_CHILDPROCESS_H
#define BRONZESHED_TESTS_CHILDPROCESS_H

#include "base/filedescriptor.h"
#include "base/settings.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace bronzeshed {

/** A process under test; it is killed at the end of the scope if it still runs. */
class ChildProcess
{
public:
    /** Starts @p program from the folder of the binaries under test; waits until it listens. */
    ChildProcess(const std::string &program, const std::vector<std::string> &flags);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /** The address on its output line "listening ADDRESS". */
    const Endpoint &endpoint() const { return this->listening; }

    /** The address on the output line "LABEL ADDRESS"; waits for the line. */
    Endpoint address(const std::string &label);

    /** Waits until the output has a line that contains @p expected. @return whether it came */
    bool waitForLine(const std::string &expected, std::chrono::milliseconds limit);

    /** Sends a signal unless the process has ended. */
    void signal(int number);

    /** Stops the process until SIGCONT, and waits until all its threads stand still. */
    void freeze();

    /** Ends the process at once. */
    void kill();

    /** Waits for the end. @return the exit code, or 128 + signal; nothing if it still runs */
    std::optional<int> waitForExit(std::chrono::seconds limit);

private:
    bool readMore(std::chrono::milliseconds limit);

    std::string program;
    pid_t pid = -1;
    FileDescriptor output;
    std::string text;
    Endpoint listening;
    std::optional<int> exitCode;
};

/** How a process ended. */
struct ProcessEnd
{
    int exitCode = 0; ///< 128 + signal if a signal ended it
    std::string output;
};

/** Runs @p program from the folder of the binaries under test until it ends. */
ProcessEnd runToEnd(const std::string &program, const std::vector<std::string> &flags);

/** Polls until @p condition holds. @return whether it did within @p limit */
bool waitFor(const std::function<bool()> &condition,
             std::chrono::seconds limit = std::chrono::seconds(30));

} // namespace bronzeshed

#endif
