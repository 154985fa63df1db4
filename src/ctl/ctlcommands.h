#ifndef BRONZESHED_CTL_CTLCOMMANDS_H
#define BRONZESHED_CTL_CTLCOMMANDS_H

#include "base/clock.h"
#include "base/random.h"
#include "ctl/agentclient.h"
#include "ctl/ctloptions.h"

#include <functional>
#include <ostream>

namespace bronzeshed {

/** Exit codes of bronzeshedctl. Code 2, invalid usage, is returned by runProgram(). */
enum class CtlExit { Done = 0, Failed = 1, Conflict = 3, Unknown = 4 };

/** Implements the commands of bronzeshedctl. */
class CtlCommands
{
public:
    using Sleep = std::function<void(std::chrono::milliseconds)>;

    CtlCommands(const CtlOptions &options, AgentClient &client, Clock &clock, Sleep sleep,
                Random &random, std::ostream &output);

    /**
     * Runs the command of the options.
     * @throws Error with a remedy if the command fails
     */
    CtlExit run();

private:
    CtlExit validate();
    CtlExit diff();
    CtlExit apply();
    /** Sets or clears the drain flag of an upstream (leave, return). */
    CtlExit setDrainFlag();
    CtlExit status();
    CtlExit history();
    /** Polls the status until @p version is active at all live instances or the wait expires. */
    CtlExit waitUntilActive(std::uint64_t version);
    CtlExit report(const ChangeReply &reply);
    std::string newWriteId();

    const CtlOptions &options;
    AgentClient &client;
    Clock &clock;
    Sleep sleep;
    Random &random;
    std::ostream &output;
};

} // namespace bronzeshed

#endif
