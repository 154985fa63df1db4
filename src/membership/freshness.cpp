#include "membership/freshness.h"

#include <algorithm>

namespace bronzeshed {

namespace {

void advance(std::optional<TimePoint> &time, TimePoint candidate)
{
    time = time ? std::max(*time, candidate) : candidate;
}

} // namespace

Freshness::Freshness(const Clock &clock, Duration maxTickGap)
    : clock(clock)
    , maxTickGap(maxTickGap)
    , lastTick(clock.now())
{
}

void Freshness::peerOrStoreAnswered(TimePoint sentAt)
{
    advance(this->lastContact, sentAt);
    advance(this->lastResponse, sentAt);
}

void Freshness::listAnswered(TimePoint sentAt)
{
    advance(this->lastResponse, sentAt);
}

void Freshness::setSoleMember(bool soleMember)
{
    this->soleMember = soleMember;
}

void Freshness::tick()
{
    const TimePoint now = this->clock.now();
    if (now - this->lastTick > this->maxTickGap) {
        this->suspendedUntil = now;
    }
    this->lastTick = now;
}

bool Freshness::canConfirmItself() const
{
    const TimePoint now = this->clock.now();
    // Another thread may call this before the first tick after a suspension.
    if (!this->soleMember || now - this->lastTick > this->maxTickGap) {
        return false;
    }
    return !this->suspendedUntil
        || (this->lastResponse && *this->lastResponse >= *this->suspendedUntil);
}

Duration Freshness::age() const
{
    if (this->canConfirmItself()) {
        return Duration::zero();
    }
    return this->lastContact ? this->clock.now() - *this->lastContact : Duration::max();
}

} // namespace bronzeshed
