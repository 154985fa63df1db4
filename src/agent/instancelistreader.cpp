#include "agent/instancelistreader.h"

#include "base/error.h"
#include "base/logline.h"

namespace bronzeshed {

namespace {

constexpr std::chrono::seconds ReadPeriod{2};

} // namespace

InstanceListReader::InstanceListReader(const Clock &clock, InstanceList &list, AgentState &state,
                                       ControlCounters &counters)
    : clock(clock)
    , list(list)
    , state(state)
    , counters(counters)
{
}

Duration InstanceListReader::step()
{
    this->counters.count(ControlMessage::ListRead);
    const TimePoint sentAt = this->clock.now();
    try {
        if (const auto snapshot = this->list.fetch(this->revision)) {
            this->state.adoptInstances(*snapshot);
            this->revision = snapshot->revision;
        }
        this->state.listAnswered(sentAt);
        if (this->failures > 0) {
            LogLine("instance_list_recovered").add("failures", this->failures);
        }
        this->failures = 0;
    } catch (const Error &error) {
        this->counters.count(ControlMessage::ListFailed);
        // Logged once per outage; instance_list_recovered has the number of failed reads.
        if (this->failures++ == 0) {
            LogLine("instance_list_failed", LogLevel::Warning).add("error", error.what());
        }
    }
    return ReadPeriod;
}

} // namespace bronzeshed
