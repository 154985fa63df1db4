#include "routing/upstreamhealth.h"

#include <algorithm>

namespace bronzeshed {

namespace {

constexpr unsigned MaxConsecutiveFailures = 3;
constexpr std::size_t HistorySize = 20;
constexpr std::chrono::seconds MinEjectionTime{1};
constexpr std::chrono::seconds MaxEjectionTime{30};

} // namespace

bool UpstreamHealth::recordSuccess()
{
    if (this->current == State::Ejected || this->current == State::Probing) {
        // The attempt started before the ejection, so its result does not count.
        return false;
    }
    const bool readmitted = this->current == State::Trial;
    this->current = State::Usable;
    this->consecutiveFailures = 0;
    this->failures.push_back(false);
    if (this->failures.size() > HistorySize) {
        this->failures.pop_front();
    }
    // The backoff is reset only after HistorySize successes without an ejection.
    if (++this->successes >= HistorySize) {
        this->backoff = Duration::zero();
    }
    return readmitted;
}

bool UpstreamHealth::recordFailure()
{
    if (this->current == State::Ejected || this->current == State::Probing) {
        return false;
    }
    ++this->consecutiveFailures;
    this->failures.push_back(true);
    if (this->failures.size() > HistorySize) {
        this->failures.pop_front();
    }
    if (this->current != State::Trial && !this->exceedsFailureLimit()) {
        return false;
    }
    this->eject();
    return true;
}

void UpstreamHealth::prolongEjection()
{
    this->eject();
}

bool UpstreamHealth::exceedsFailureLimit() const
{
    if (this->consecutiveFailures >= MaxConsecutiveFailures) {
        return true;
    }
    const auto failed = std::count(this->failures.begin(), this->failures.end(), true);
    return this->failures.size() == HistorySize
        && static_cast<std::size_t>(failed) >= HistorySize / 2;
}

void UpstreamHealth::eject()
{
    this->current = State::Ejected;
    this->failures.clear();
    this->consecutiveFailures = 0;
    this->successes = 0;
    this->backoff = std::clamp<Duration>(this->backoff * 2, MinEjectionTime, MaxEjectionTime);
}

} // namespace bronzeshed
