// Functions of StoreWatcher for the relay of the zone and for the entries that it serves.

#include "base/error.h"
#include "base/logline.h"
#include "gateway/relaywatchlimits.h"
#include "gateway/storewatcher.h"

namespace bronzeshed {

namespace {

/** Entries of a zone, in order, that may be its relay; beyond them, an entry watches the store. */
constexpr int MaxRelays = 2;
/**
 * Time for which the next entry in order is used after a relay failed. A first failure may be a
 * short one; later ones last longer than the new relay needs to find that the former has ended. A
 * relay that refuses is alive: once it reaches the store again, it must hear from all entries
 * before it takes them for ended.
 */
constexpr std::chrono::seconds FirstAvoidanceTime{1};
constexpr std::chrono::seconds AvoidanceTime{4};
/** A failure within this time is a refusal, as sent by an entry that has just become the relay. */
constexpr std::chrono::milliseconds RelayRefusalTime{100};
constexpr std::chrono::milliseconds RelayRefusalPause{200};
/** Pause between two checks of a relay whose replica is about to be confirmed. */
constexpr std::chrono::milliseconds RelayCheckPause{100};
constexpr unsigned MaxRelayRefusals = 4; ///< consecutive; then the relay is treated as failed

} // namespace

void StoreWatcher::contactFrom(const InstanceId &watcher)
{
    this->duties.contactFrom(watcher);
}

bool StoreWatcher::registrationRequested(const InstanceId &id, const std::string &record)
{
    if (!this->health.isReachable()) {
        return false;
    }
    try {
        decodeMember(id.value(), record);
    } catch (const Error &error) {
        LogLine("registration_rejected", LogLevel::Warning)
            .add("entry", id.value())
            .add("error", error.what());
        return false;
    }
    this->duties.requestRegistration(id, record);
    this->events.registrationQueued();
    return true;
}

std::map<InstanceId, StoreItem> StoreWatcher::otherRegistrations()
{
    std::map<InstanceId, StoreItem> others;
    const std::lock_guard lock(this->mutex);
    for (const auto &[id, member] : this->replica.registeredMembers()) {
        if (member.zone == this->options.zone && id != this->options.self) {
            others.emplace(id, *this->replica.memberItem(id));
        }
    }
    return others;
}

bool StoreWatcher::watchRelay()
{
    const auto relay = this->findRelay();
    if (!relay) {
        return false;
    }
    const TimePoint start = std::chrono::steady_clock::now();
    const auto limits = nextRelayWatch(this->age.at(start), this->health.isReachable());
    if (!limits) {
        return false;
    }
    HttpMetadataStore source(relay->agentEndpoint, limits->timeout,
                             [this] { return this->stopping.load(); });
    source.identifyWatches(this->options.self);
    try {
        if (this->synchronized) {
            this->watch(source, this->unconfirmed ? ConfirmationWait : limits->wait);
        } else {
            this->readAll(source, "relay", ReadMode::Linearizable);
        }
        this->relayRefusals = 0;
        this->relaySilent = false;
        this->avoidedRelays.erase(relay->id);
        this->setRole(ZoneRole::Follower, relay->agentEndpoint);
        if (limits->wait == ConfirmationWait) {
            this->pause(RelayCheckPause);
        }
        return true;
    } catch (const Error &error) {
        const TimePoint now = std::chrono::steady_clock::now();
        this->publishUnconfirmed();
        const bool refused = now - start < RelayRefusalTime;
        const bool failedBefore = this->avoidedRelays.contains(relay->id);
        if (refused && !failedBefore && ++this->relayRefusals < MaxRelayRefusals) {
            this->pause(RelayRefusalPause);
            return true;
        }
        LogLine("relay_failed", LogLevel::Warning)
            .add("relay", relay->id.value())
            .add("error", error.what())
            .add("replica_age_ms", this->age.millisecondsAt(now));
        this->relayRefusals = 0;
        this->relaySilent = !refused;
        this->avoidRelay(relay->id, refused, now);
        this->degradedUntil = now + DegradedTime;
        return true;
    }
}

std::optional<Member> StoreWatcher::findRelay()
{
    const TimePoint now = std::chrono::steady_clock::now();
    int rank = 0;
    const std::lock_guard lock(this->mutex);
    // Members are sorted by id, so all entries with the same list select the same relay.
    for (const auto &[id, member] : this->replica.registeredMembers()) {
        if (member.zone != this->options.zone) {
            continue;
        }
        if (id == this->options.self || ++rank > MaxRelays) {
            return std::nullopt;
        }
        const auto avoided = this->avoidedRelays.find(id);
        if (avoided == this->avoidedRelays.end() || avoided->second.until <= now) {
            return member;
        }
    }
    return std::nullopt;
}

bool StoreWatcher::mayRelay()
{
    int before = 0;
    for (const auto &[id, item] : this->otherRegistrations()) {
        before += id < this->options.self ? 1 : 0;
    }
    // A relay acts until one before it in order has answered.
    return before < MaxRelays && (this->role.load() == ZoneRole::Relay || !this->findRelay());
}

void StoreWatcher::avoidRelay(const InstanceId &relay, bool refused, TimePoint now)
{
    Avoidance &avoidance = this->avoidedRelays[relay];
    ++avoidance.failures;
    const bool shortly = refused || avoidance.failures == 1;
    avoidance.until = now + (shortly ? FirstAvoidanceTime : AvoidanceTime);
}

void StoreWatcher::setRoleWithoutRelay(bool storeReachable)
{
    if (!this->mayRelay()) {
        this->setRole(ZoneRole::Independent);
    } else {
        this->setRole(storeReachable ? ZoneRole::Relay : ZoneRole::Candidate);
    }
}

} // namespace bronzeshed
