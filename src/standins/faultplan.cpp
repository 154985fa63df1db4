#include "standins/faultplan.h"

namespace bronzeshed {

std::optional<FaultMode> parseFaultMode(const std::string &name)
{
    if (name == "none") {
        return FaultMode::None;
    }
    if (name == "down") {
        return FaultMode::Down;
    }
    if (name == "slow") {
        return FaultMode::Slow;
    }
    if (name == "lose-reply") {
        return FaultMode::LoseReply;
    }
    return std::nullopt;
}

void FaultPlan::set(FaultMode newMode, std::uint64_t count, Duration newDelay)
{
    this->current = newMode;
    this->slowness = newDelay;
    this->remaining.reset();
    if (count > 0) {
        this->remaining = count;
    }
}

FaultMode FaultPlan::take(bool isWrite)
{
    if (this->current == FaultMode::LoseReply && !isWrite) {
        return FaultMode::None;
    }
    const FaultMode taken = this->current;
    if (this->remaining && --*this->remaining == 0) {
        this->set(FaultMode::None, 0, Duration::zero());
    }
    return taken;
}

} // namespace bronzeshed
