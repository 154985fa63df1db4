#include "routing/probebudget.h"

namespace bronzeshed {

namespace {

/** A lookup answer lists three entries, and each of them may probe the same upstream. */
constexpr double EntriesPerUpstream = 3;
/** Slot time that one probe takes at an upstream. */
constexpr double ProbeSlotSeconds = 0.006;
/** Size of the request and response of a probe, including their TCP/IP headers. */
constexpr double ProbeBytes = 600;

} // namespace

ProbeBudget::ProbeBudget(TimePoint now)
    : bytes(static_cast<double>(MeasuringBudget{}.bytesPerSecond), ProbeBytes, now)
{
}

void ProbeBudget::configure(const MeasuringBudget &newBudget, TimePoint now)
{
    if (newBudget.serverTimeShare != this->budget.serverTimeShare) {
        this->slotTime.clear();
    }
    this->budget = newBudget;
    this->bytes.setRate(static_cast<double>(newBudget.bytesPerSecond), now);
}

void ProbeBudget::track(const UpstreamId &upstream, unsigned slots, TimePoint now)
{
    const double rate = this->budget.serverTimeShare / EntriesPerUpstream * slots;
    this->slotTime.try_emplace(upstream, rate, ProbeSlotSeconds, now);
}

bool ProbeBudget::trySpend(const UpstreamId &upstream, TimePoint now)
{
    const auto time = this->slotTime.find(upstream);
    if (time == this->slotTime.end() || !time->second.has(ProbeSlotSeconds, now)
        || !this->bytes.has(ProbeBytes, now)) {
        return false;
    }
    time->second.take(ProbeSlotSeconds);
    this->bytes.take(ProbeBytes);
    return true;
}

} // namespace bronzeshed
