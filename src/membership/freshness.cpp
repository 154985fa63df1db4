#include "membership/freshness.h"

#include <algorithm>

namespace bronzeshed {

namespace {

void raise(std::optional<TimePoint> &time, TimePoint candidate)
{
    time = time ? std::max(*time, candidate) : candidate;
}

} // namespace

Freshness::Freshness(const Clock &clock, Duration gap)
    : clock(clock)
    , gap(gap)
    , lastTick(clock.now())
{
}

void Freshness::contacted(TimePoint sentAt)
{
    raise(this->lastContact, sentAt);
    raise(this->lastAnswer, sentAt);
}

void Freshness::listAnswered(TimePoint sentAt)
{
    raise(this->lastAnswer, sentAt);
}

void Freshness::setAlone(bool alone)
{
    this->alone = alone;
}

void Freshness::tick()
{
    const TimePoint now = this->clock.now();
    if (now - this->lastTick > this->gap) {
        this->frozenUntil = now;
    }
    this->lastTick = now;
}

bool Freshness::mayConfirmItself() const
{
    const TimePoint now = this->clock.now();
    // Another thread may ask before the first tick after a freeze.
    if (!this->alone || now - this->lastTick > this->gap) {
        return false;
    }
    return !this->frozenUntil || (this->lastAnswer && *this->lastAnswer >= *this->frozenUntil);
}

Duration Freshness::age() const
{
    if (this->mayConfirmItself()) {
        return Duration::zero();
    }
    return this->lastContact ? this->clock.now() - *this->lastContact : Duration::max();
}

} // namespace bronzeshed
