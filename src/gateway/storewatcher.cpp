#include "gateway/storewatcher.h"

#include "base/error.h"
#include "base/logline.h"

#include <algorithm>

namespace bronzeshed {

namespace {

/**
 * A watch may be lost while all other calls are answered, so its wait and its timeout bound the age
 * of the replica. Each watch is billed.
 */
constexpr std::chrono::milliseconds WatchWait{600};
/**
 * A watch that starts while the store drops its history may miss changes without being closed. A
 * short wait bounds the delay until the next watch detects the loss.
 */
constexpr std::chrono::milliseconds DegradedWatchWait{500};
/**
 * Time at the start in which an entry without a relay makes stale reads until it is registered.
 * They may be seconds old, and an entry must know the present configuration 3 s after its start.
 */
constexpr std::chrono::milliseconds StartReadTime{1500};
/** The store may close a waiting watch while it is available; this many failures are ignored. */
constexpr unsigned MaxToleratedFailures = 1;
/** Changes within this time are fetched with one watch call, since each call is billed. */
constexpr std::chrono::milliseconds BatchTime{700};
/** A relay whose last successful store call is older may have lost the store unnoticed. */
constexpr std::chrono::milliseconds RelayFreshness{900};
/** A relay whose watch is overdue may have lost it. */
constexpr std::chrono::milliseconds WatchDelayTolerance{500};
constexpr std::chrono::milliseconds MaxRelayReplicaAge
    = BatchTime + WatchWait + WatchDelayTolerance;
/** An instance that cannot reach the store must receive changes within a few seconds. */
constexpr std::chrono::milliseconds PeerPeriod{500};
/** Keys deleted within this time after an outage may only have expired. */
constexpr std::chrono::seconds ExpiryWindow{4};
constexpr std::chrono::milliseconds PauseStep{50};

} // namespace

StoreWatcher::StoreWatcher(StoreWatcherOptions watcherOptions, StoreHealth &health, ReplicaAge &age,
                           StoreWatcherEvents &events)
    : options(std::move(watcherOptions))
    , health(health)
    , age(age)
    , events(events)
    , random(makeSystemRandom())
    , replica(this->options.regions)
    , duties(this->options.store, *this)
{
}

StoreWatcher::~StoreWatcher()
{
    this->stop();
}

void StoreWatcher::start()
{
    this->startedAt = std::chrono::steady_clock::now();
    this->age.confirm(this->startedAt);
    this->thread = std::thread([this] { this->run(); });
}

void StoreWatcher::stop()
{
    this->stopping.store(true);
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

StoreRange StoreWatcher::snapshot(ReadMode mode)
{
    const std::lock_guard lock(this->mutex);
    return this->replica.snapshot(mode == ReadMode::AllowStale);
}

StoreChanges StoreWatcher::changesSince(StoreRevision after)
{
    const std::lock_guard lock(this->mutex);
    return this->replica.changesSince(after);
}

bool StoreWatcher::isCurrent()
{
    const TimePoint now = std::chrono::steady_clock::now();
    return this->role.load() == ZoneRole::Relay && this->age.at(now) <= MaxRelayReplicaAge
        && this->health.succeededWithin(RelayFreshness, now);
}

void StoreWatcher::run()
{
    while (!this->stopping.load()) {
        if (this->watchRelay() || this->followStore()) {
            continue;
        }
        if (this->stopping.load()) {
            return;
        }
        this->setRoleWithoutRelay(false);
        this->degradedUntil = std::chrono::steady_clock::now() + DegradedTime;
        this->events.storeUnreachable();
        this->queryPeers();
        this->pauseWhileUnreachable(PeerPeriod);
    }
}

bool StoreWatcher::followStore()
{
    if (this->role.load() == ZoneRole::Follower && !this->mayRelay() && !this->relaySilent) {
        // Relays that refuse have lost the store before all others notice. A check costs less than
        // a watch.
        this->health.recordDoubt("the relays of the zone refuse");
    }
    // While the store is unavailable, the checks of the registrar, which cost less, detect its
    // recovery.
    return this->health.isReachable() && this->tryWatchStore();
}

bool StoreWatcher::tryWatchStore()
{
    try {
        this->watchStore();
        this->consecutiveFailures = 0;
        return true;
    } catch (const Error &error) {
        const TimePoint now = std::chrono::steady_clock::now();
        this->degradedUntil = now + DegradedTime;
        if (++this->consecutiveFailures <= MaxToleratedFailures && this->health.isReachable()) {
            LogLine("watch_interrupted", LogLevel::Warning)
                .add("error", error.what())
                .add("replica_age_ms", this->age.millisecondsAt(now));
            return !this->stopping.load();
        }
        this->health.recordFailure(error.what(), now);
        return false;
    }
}

bool StoreWatcher::isRegistered()
{
    const std::lock_guard lock(this->mutex);
    return this->replica.registeredMembers().contains(this->options.self);
}

void StoreWatcher::watchStore()
{
    HttpMetadataStore source(this->options.store, StoreTimeout, [this] {
        return this->stopping.load() || !this->health.isReachable();
    });
    if (this->starting && this->synchronized) {
        this->starting = !this->isRegistered()
            && std::chrono::steady_clock::now() - this->startedAt < StartReadTime;
    }
    if (this->starting) {
        // During the start of the fleet, entries with incomplete lists would select different
        // relays. A stale read costs a tenth of a watch, which fetches what the reads lack later.
        this->readAll(source, "store", ReadMode::AllowStale);
        this->health.recordSuccess(std::chrono::steady_clock::now());
        if (!this->isRegistered() && !this->findRelay()) {
            this->setRoleWithoutRelay(false);
            this->pause(BatchTime);
        }
        return;
    }
    if (!this->synchronized) {
        this->readAll(source, "store", ReadMode::Linearizable);
    } else {
        // Entries with the same list already send their watches to this entry.
        this->setRoleWithoutRelay(true);
        this->publishUnconfirmed();
        const bool degraded = std::chrono::steady_clock::now() < this->degradedUntil;
        this->watch(source, degraded ? DegradedWatchWait : WatchWait);
        if (this->synchronized) {
            this->pause(BatchTime);
        }
    }
    this->health.recordSuccess(std::chrono::steady_clock::now());
    this->setRoleWithoutRelay(true);
}

void StoreWatcher::readAll(HttpMetadataStore &source, std::string_view name, ReadMode mode)
{
    const TimePoint start = std::chrono::steady_clock::now();
    const StoreRange range = source.range("", mode);
    const DeletionKind kind = this->deletionKind();
    bool changed = false;
    {
        const std::lock_guard lock(this->mutex);
        if (range.asOf < this->replica.revision()) {
            if (mode == ReadMode::AllowStale) {
                return;
            }
            throw UnavailableError("the replica of the " + std::string(name)
                                       + " is older than the local one",
                                   "wait until its revision reaches the local one");
        }
        changed = this->replica.replaceAll(range, kind, std::chrono::steady_clock::now());
    }
    this->synchronized = true;
    if (mode == ReadMode::Linearizable) {
        this->confirm(range.confirmation, start, start);
    }
    // The relay, if one is known, adds at once what a stale read lacks, such as upstreams that
    // left.
    this->unconfirmed = mode == ReadMode::AllowStale && this->findRelay().has_value();
    LogLine("store_items_read")
        .add("source", name)
        .add("items", range.items.size())
        .add("revision", range.asOf.value())
        .add("changed", changed);
    this->publish(changed);
}

void StoreWatcher::watch(HttpMetadataStore &source, std::chrono::milliseconds maxWait)
{
    std::chrono::milliseconds wait = maxWait;
    StoreRevision after;
    {
        const std::lock_guard lock(this->mutex);
        after = this->replica.revision();
        if (const auto expiry = this->replica.nextExpiry()) {
            const auto left = std::chrono::ceil<std::chrono::milliseconds>(
                *expiry - std::chrono::steady_clock::now());
            wait = std::clamp(left, std::chrono::milliseconds(1), maxWait);
        }
    }
    const TimePoint start = std::chrono::steady_clock::now();
    const StoreChanges changes = source.watch("", after, wait, ReadMode::Linearizable);
    const TimePoint now = std::chrono::steady_clock::now();
    if (changes.historyLost) {
        LogLine("store_history_lost", LogLevel::Warning).add("revision", after.value());
        this->synchronized = false;
        this->degradedUntil = now + DegradedTime;
        return;
    }
    this->confirm(changes.confirmation, start, now);
    bool changed = false;
    {
        const std::lock_guard lock(this->mutex);
        changed = this->replica.apply(changes, this->deletionKind(), now);
        changed |= this->replica.dropExpired(now);
    }
    changed |= std::exchange(this->unconfirmed, false);
    this->publish(changed);
}

void StoreWatcher::confirm(const ReplicaConfirmation &confirmation, TimePoint start,
                           TimePoint storeTime)
{
    this->age.confirm(confirmation ? std::min(start + *confirmation, storeTime) : storeTime);
}

void StoreWatcher::publishUnconfirmed()
{
    if (std::exchange(this->unconfirmed, false)) {
        LogLine("stale_items_used", LogLevel::Warning).add("reason", "the relay did not answer");
        this->publish(true);
    }
}

DeletionKind StoreWatcher::deletionKind() const
{
    const bool afterOutage
        = this->health.failedWithin(ExpiryWindow, std::chrono::steady_clock::now());
    return afterOutage ? DeletionKind::Expired : DeletionKind::Final;
}

void StoreWatcher::publish(bool changed)
{
    FleetState state;
    std::optional<StoreItem> registration;
    {
        const std::lock_guard lock(this->mutex);
        if (const StoreItem *item = this->replica.memberItem(this->options.self)) {
            registration = *item;
        }
        if (changed) {
            state = this->replica.state();
        }
    }
    if (changed && !this->unconfirmed) {
        this->events.stateChanged(std::move(state));
    }
    // A deletion that may be an expiry leaves the state unchanged, but other entries must see it.
    this->events.replicaConfirmed();
    if (this->synchronized) {
        this->events.registrationRead(registration);
    }
}

void StoreWatcher::setRole(ZoneRole newRole, const std::optional<Endpoint> &newRelay)
{
    const ZoneRole former = this->role.exchange(newRole);
    if (former == newRole && this->relay == newRelay) {
        return;
    }
    this->relay = newRelay;
    LogLine("zone_role_changed")
        .add("from", roleName(former))
        .add("to", roleName(newRole))
        .add("relay", newRelay ? newRelay->toString() : "");
    this->events.roleChanged(newRole, newRelay);
}

void StoreWatcher::pause(Duration time)
{
    this->pauseUntil(std::chrono::steady_clock::now() + time, [] { return false; });
}

void StoreWatcher::pauseWhileUnreachable(Duration time)
{
    this->pauseUntil(std::chrono::steady_clock::now() + time,
                     [this] { return this->health.isReachable(); });
}

void StoreWatcher::pauseUntil(TimePoint end, const std::function<bool()> &ended)
{
    while (!this->stopping.load() && !ended()) {
        const Duration left = end - std::chrono::steady_clock::now();
        if (left <= Duration::zero()) {
            return;
        }
        std::this_thread::sleep_for(std::min<Duration>(left, PauseStep));
    }
}

} // namespace bronzeshed
