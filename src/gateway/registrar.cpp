#include "gateway/registrar.h"

#include "base/error.h"
#include "base/logline.h"
#include "platform/snapshotport.h"

#include <algorithm>

namespace bronzeshed {

namespace {

constexpr std::chrono::milliseconds PeerTimeout{300};
/** Renewal period of an entry without a relay. One renewal may fail before the lease ends. */
constexpr std::chrono::milliseconds RenewPeriod{6000};
/** Time for which a new process waits for the registration that its predecessor may have left. */
constexpr std::chrono::milliseconds SituationWait{1500};
/** Renewal period of a relay, which must detect a loss of the store early. */
constexpr std::chrono::milliseconds RelayRenewPeriod{400};
/** Period of the checks with which a candidate detects that the store has recovered. */
constexpr std::chrono::milliseconds CandidateCheckPeriod{700};
/**
 * The same for other entries. They outnumber the candidates, which tell them of the recovery, and
 * receive changes from peers meanwhile.
 */
constexpr std::chrono::milliseconds OtherCheckPeriod{5000};
/** Shortest pause between two rounds of calls, also while the store fails. */
constexpr std::chrono::milliseconds MinWorkPeriod{100};
/** Pause between two attempts to register. */
constexpr std::chrono::milliseconds RegisterPeriod{500};
/** Rounds of requests to peers before an entry registers itself. */
constexpr unsigned MaxFailedRequests = 3;
/** Minimum time between two writes of work times, since each call is billed. */
constexpr std::chrono::seconds WorkTimePublishPeriod{5};
/** Time after which the watch is expected to report a registration. */
constexpr std::chrono::milliseconds VisibilityTime{2500};

} // namespace

Registrar::Registrar(const Endpoint &store, Member self, std::vector<Endpoint> seeds,
                     StoreHealth &health, RelayDuties &duties)
    : self(std::move(self))
    , record(encodeMember(this->self))
    , seeds(std::move(seeds))
    , health(health)
    , duties(duties)
    , store(store, StoreTimeout)
    , random(makeSystemRandom())
    , thread([this] { this->run(); })
{
}

Registrar::~Registrar()
{
    this->deregister();
}

void Registrar::registrationRead(const std::optional<StoreItem> &registration)
{
    const std::lock_guard lock(this->mutex);
    const bool first = !std::exchange(this->registrationKnown, true);
    const bool matches = registration && registration->value == this->record;
    const bool newlyMissing = !matches && !this->situation.missing;
    this->situation.missing = !matches;
    if (matches
        && (!this->situation.own || registration->revision > this->situation.own->revision)) {
        this->situation.own = registration;
    }
    if (first || newlyMissing) {
        this->wakeAt(std::chrono::steady_clock::now());
    }
}

void Registrar::setRole(ZoneRole role, const std::optional<Endpoint> &relay)
{
    const std::lock_guard lock(this->mutex);
    const bool changedRole = this->situation.role != role;
    this->situation.role = role;
    this->situation.relay = relay;
    // A new relay must establish whether it reaches the store, and so must an entry that has just
    // lost its relay.
    if (changedRole) {
        this->wakeAt(std::chrono::steady_clock::now());
    }
}

void Registrar::storeUnreachable()
{
    const std::lock_guard lock(this->mutex);
    this->wakeAt(std::chrono::steady_clock::now() + this->period(this->situation));
}

void Registrar::registrationRequested()
{
    const std::lock_guard lock(this->mutex);
    if (const auto due = this->duties.registrationsDueAt()) {
        this->wakeAt(*due);
    }
}

void Registrar::wakeAt(TimePoint time)
{
    this->nextWake = std::min(this->nextWake, time);
    this->changed.notify_all();
}

void Registrar::setWorkTimes(WorkTimes times)
{
    const std::lock_guard lock(this->mutex);
    this->workTimes = std::move(times);
}

void Registrar::deregister()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->changed.notify_all();
    if (!this->thread.joinable()) {
        return;
    }
    this->thread.join();
    const std::lock_guard lock(this->mutex);
    if (!this->situation.own) {
        return;
    }
    // Other registrations may share the lease, so only the own one is removed.
    bool removed = false;
    std::string failure;
    try {
        removed = this->store.erase({*this->situation.own}, std::nullopt);
    } catch (const Error &error) {
        // The relay removes the registration without the call.
        failure = error.what();
    }
    LogLine("deregistered", failure.empty() ? LogLevel::Info : LogLevel::Warning)
        .add("revision", this->situation.own->revision.value())
        .add("removed", removed)
        .add("error", failure);
}

void Registrar::run()
{
    std::unique_lock lock(this->mutex);
    this->awaitSituation(lock);
    while (!this->stopping) {
        const Situation present = this->situation;
        this->nextWake = TimePoint::max();
        lock.unlock();
        try {
            if (this->work(present)) {
                this->health.recordSuccess(std::chrono::steady_clock::now());
            }
        } catch (const Error &error) {
            this->health.recordFailure(error.what(), std::chrono::steady_clock::now());
        }
        lock.lock();
        const TimePoint now = std::chrono::steady_clock::now();
        this->wakeAt(now + this->period(this->situation));
        if (const auto due = this->duties.registrationsDueAt()) {
            this->wakeAt(std::max(*due, now + MinWorkPeriod));
        }
        while (!this->stopping && std::chrono::steady_clock::now() < this->nextWake) {
            this->changed.wait_until(lock, TimePoint(this->nextWake));
        }
    }
}

void Registrar::awaitSituation(std::unique_lock<std::mutex> &lock)
{
    this->changed.wait_for(lock, SituationWait, [this] {
        return this->stopping
            || (this->registrationKnown && this->situation.role != ZoneRole::Undecided);
    });
}

std::chrono::milliseconds Registrar::period(const Situation &present) const
{
    const bool leads = present.role == ZoneRole::Relay || present.role == ZoneRole::Candidate;
    if (!this->health.isReachable()) {
        return leads ? CandidateCheckPeriod : OtherCheckPeriod;
    }
    if (present.role == ZoneRole::Relay) {
        return RelayRenewPeriod;
    }
    return present.missing ? RegisterPeriod : RenewPeriod;
}

bool Registrar::work(const Situation &present)
{
    bool called = false;
    if (!this->health.isReachable()) {
        // A failed write costs ten times as much as this call.
        this->store.checkAvailability();
        called = true;
    }
    if (!present.missing) {
        this->failedRequests = 0;
    }
    const TimePoint now = std::chrono::steady_clock::now();
    if (present.missing && now - this->requestedAt >= VisibilityTime) {
        called |= this->registerEntry(present);
    } else if (present.own && present.role != ZoneRole::Follower
               && now - this->renewedAt >= this->period(present)) {
        called = true;
        this->renewedAt = now;
        if (!this->store.renewLease(present.own->lease)) {
            LogLine("lease_lost", LogLevel::Warning).add("lease", present.own->lease.value());
            this->writeRegistration(LeaseId());
        }
    }
    std::optional<StoreItem> own;
    {
        const std::lock_guard lock(this->mutex);
        own = this->situation.own;
    }
    if (own) {
        this->duties.perform(*own);
    }
    if (present.role == ZoneRole::Relay) {
        this->publishWorkTimes();
    }
    return called;
}

bool Registrar::registerEntry(const Situation &present)
{
    const std::vector<Endpoint> peers = this->registrationPeers(present);
    if (peers.empty() || this->failedRequests >= MaxFailedRequests) {
        this->writeRegistration(present.own ? present.own->lease : LeaseId());
        return true;
    }
    ++this->failedRequests;
    for (const Endpoint &peer : peers) {
        if (requestRegistration(peer, this->self.id, this->record, PeerTimeout)) {
            LogLine("registration_requested").add("peer", peer.toString());
            this->requestedAt = std::chrono::steady_clock::now();
            return false;
        }
    }
    return false;
}

std::vector<Endpoint> Registrar::registrationPeers(const Situation &present)
{
    if (present.role == ZoneRole::Follower && present.relay) {
        return {*present.relay};
    }
    const bool isSeed = std::find(this->seeds.begin(), this->seeds.end(), this->self.agentEndpoint)
        != this->seeds.end();
    if (present.own || isSeed) {
        return {};
    }
    std::vector<Endpoint> peers = this->seeds;
    if (!peers.empty()) {
        std::swap(peers.front(), peers[this->random.below(peers.size())]);
    }
    return peers;
}

void Registrar::writeRegistration(LeaseId formerLease)
{
    StoreItem item;
    item.key = std::string(MemberPrefix) + this->self.id.value();
    item.value = this->record;
    item.lease = formerLease;
    std::optional<StoreRevision> revision;
    if (formerLease.value() != 0) {
        revision = this->store.put(item.key, item.value, item.lease);
    }
    if (!revision) {
        item.lease = this->store.grantLease(LeaseTime);
        revision = this->store.put(item.key, item.value, item.lease);
    }
    if (!revision) {
        LogLine("registration_failed", LogLevel::Warning).add("lease", item.lease.value());
        return;
    }
    item.revision = *revision;
    this->requestedAt = std::chrono::steady_clock::now();
    this->renewedAt = this->requestedAt;
    LogLine("registered").add("lease", item.lease.value());
    const std::lock_guard lock(this->mutex);
    this->situation.own = std::move(item);
    this->situation.missing = false;
}

void Registrar::publishWorkTimes()
{
    WorkTimes measured;
    {
        const std::lock_guard lock(this->mutex);
        measured = this->workTimes;
    }
    const TimePoint now = std::chrono::steady_clock::now();
    if (now - this->workTimesPublishedAt < WorkTimePublishPeriod
        || !differsNotably(measured, this->publishedWorkTimes)) {
        return;
    }
    // The record outlives all entries: after a restart of all of them, no other source is left.
    const std::string key = std::string(WorkTimePrefix) + this->self.zone.value();
    this->store.put(key, encodeWorkTimes(measured), LeaseId());
    this->publishedWorkTimes = std::move(measured);
    this->workTimesPublishedAt = now;
    LogLine("work_times_published").add("classes", this->publishedWorkTimes.size());
}

} // namespace bronzeshed
