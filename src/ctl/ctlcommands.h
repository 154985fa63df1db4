#ifndef BRONZESHED_CTL_CTLCOMMANDS_H
#define BRONZESHED_CTL_CTLCOMMANDS_H

#include "base/clock.h"
#include "base/random.h"
#include "ctl/agentclient.h"
#include "ctl/ctloptions.h"

#include <functional>
#include <ostream>

namespace bronzeshed {

/** Exit codes of bronzeshedctl. 2 is bad usage. */
enum class CtlExit { Done = 0, Failed = 1, Conflict = 3, Unknown = 4 };

/** The commands of bronzeshedctl. */
class CtlCommands
{
public:
    using Sleep = std::function<void(std::chrono::milliseconds)>;

    CtlCommands(const CtlOptions &options, AgentClient &client, Clock &clock, Sleep sleep,
                Random &random, std::ostream &output);

    /** @throws Error naming the remedy if the command fails */
    CtlExit run();

private:
    CtlExit validate();
    CtlExit diff();
    CtlExit apply();
    CtlExit mark();
    CtlExit status();
    CtlExit history();
    /** Waits until all live instances have @p version in force. */
    CtlExit waitInForce(std::uint64_t version);
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
