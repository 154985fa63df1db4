#include "gateway/membermonitor.h"

#include "gateway/leaseschedule.h"

#include <algorithm>

namespace bronzeshed {

namespace {

/**
 * Time without a contact after which an entry counts as ended. Entries contact their relay every
 * 0.7 s, and avoid it for 1 s after a first failure.
 */
constexpr std::chrono::milliseconds SilenceLimit{2400};
/** A relay in contact with less than one in this many of the others removes nobody. */
constexpr std::size_t QuorumDivisor = 4;

} // namespace

std::vector<InstanceId> MemberMonitor::silentMembers(const std::vector<InstanceId> &others,
                                                     bool relaying, TimePoint now)
{
    const bool paused = now - this->lastCheck > MaxCheckGap;
    this->lastCheck = now;
    this->longSilent.clear();
    if (!relaying || paused) {
        this->observedSince.clear();
        this->contacts.clear();
        if (!relaying) {
            return {};
        }
    }
    std::vector<InstanceId> silent;
    std::map<InstanceId, TimePoint> observed;
    std::size_t inContact = 0;
    for (const InstanceId &id : others) {
        const auto known = this->observedSince.find(id);
        const TimePoint since = known == this->observedSince.end() ? now : known->second;
        observed.emplace(id, since);
        const auto contact = this->contacts.find(id);
        const TimePoint last
            = contact == this->contacts.end() ? since : std::max(since, contact->second);
        inContact += contact != this->contacts.end() && now - contact->second <= SilenceLimit;
        if (now - last > SilenceLimit) {
            silent.push_back(id);
        }
        if (now - last > LeaseTime) {
            this->longSilent.push_back(id);
        }
    }
    this->observedSince = std::move(observed);
    const bool quorum = inContact > 0 && inContact * QuorumDivisor >= others.size();
    // With a single other entry, nobody else can tell which of both has failed.
    if (!quorum && others.size() > 1) {
        return {};
    }
    return silent;
}

} // namespace bronzeshed
