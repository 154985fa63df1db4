#ifndef BRONZESHED_STANDINS_FAULTPLAN_H
#define BRONZESHED_STANDINS_FAULTPLAN_H

#include "base/clock.h"

#include <cstdint>
#include <optional>
#include <string>

namespace bronzeshed {

/** What goes wrong with a request to the platform stand-in. */
enum class FaultMode {
    None,
    Down, ///< the connection closes without an answer
    Slow, ///< the request is handled after a delay
    LoseReply, ///< a write takes effect, then the connection closes without an answer
};

/** @return nothing if @p name is no fault */
std::optional<FaultMode> parseFaultMode(const std::string &name);

/** A fault that lasts for a number of requests or until it is replaced. */
class FaultPlan
{
public:
    /** @param count requests that the fault hits; 0 means no limit */
    void set(FaultMode newMode, std::uint64_t count, Duration newDelay);

    /** The fault for the next request. Lost replies hit and count writes only. */
    FaultMode take(bool isWrite);
    FaultMode mode() const { return this->current; }
    Duration delay() const { return this->slowness; }

private:
    FaultMode current = FaultMode::None;
    std::optional<std::uint64_t> remaining;
    Duration slowness = Duration::zero();
};

} // namespace bronzeshed

#endif
