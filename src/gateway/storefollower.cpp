#include "gateway/storefollower.h"

#include "base/error.h"
#include "base/logline.h"

#include <algorithm>

namespace bronzeshed {

namespace {

constexpr std::chrono::milliseconds StoreTimeout{1000};
/** Half of the time that the store lets a watch wait. */
constexpr std::chrono::milliseconds WatchWait{15000};
/** A watch that begins while the store drops its history may miss changes and not be cut. */
constexpr std::chrono::milliseconds TroubledWatchWait{500};
constexpr std::chrono::seconds TroubledTime{5}; ///< after a failure or a lost history
/** The store may cut a waiting watch without being away; failures beyond these count. */
constexpr unsigned MaxCutWatches = 1;
/** Changes within this time share one call of the watch, since each call is paid for. */
constexpr std::chrono::milliseconds BatchTime{700};
/** A watch at a relay is this short so that a relay that stopped is noticed soon. */
constexpr std::chrono::milliseconds RelayWait{700};
constexpr std::chrono::milliseconds RelayTimeout{600};
/** A relay that did not hear from the store for longer may have lost it without knowing. */
constexpr std::chrono::milliseconds RelayFreshness{900};
/** How long an entry watches the store itself after its relay failed. */
constexpr std::chrono::seconds RelayAvoidTime{1};
/** A relay that fails sooner than this refuses, as one does that has just become the relay. */
constexpr std::chrono::milliseconds RefusalTime{100};
constexpr std::chrono::milliseconds RefusalPause{200};
constexpr unsigned MaxRefusals = 3; ///< in a row, until the relay is taken to have lost the store
/** An instance without the store must learn of changes within a few seconds. */
constexpr std::chrono::milliseconds PeerPeriod{500};
constexpr std::chrono::milliseconds PeerTimeout{300};
/** The answer of a peer without news comes at once. */
constexpr std::chrono::milliseconds PeerWait{0};
constexpr std::size_t PeersPerRound = 2;
/** Keys that vanish so soon after an outage may only have lapsed. */
constexpr std::chrono::seconds LapseWindow{4};
constexpr std::chrono::milliseconds PauseStep{50};

} // namespace

StoreFollower::StoreFollower(FollowerOptions given, StoreHealth &health, FollowerEvents &events)
    : options(std::move(given))
    , health(health)
    , events(events)
    , random(makeSystemRandom())
    , registry(this->options.regions)
{
}

StoreFollower::~StoreFollower()
{
    this->stop();
}

void StoreFollower::start()
{
    this->thread = std::thread([this] { this->run(); });
}

void StoreFollower::stop()
{
    this->stopping.store(true);
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

StoreRange StoreFollower::snapshot(ReadMode mode)
{
    const std::lock_guard lock(this->mutex);
    return this->registry.snapshot(mode == ReadMode::AllowStale);
}

StoreChanges StoreFollower::changesSince(StoreRevision after)
{
    const std::lock_guard lock(this->mutex);
    return this->registry.changesSince(after);
}

bool StoreFollower::isCurrent()
{
    return this->relaying.load()
        && this->health.succeededWithin(RelayFreshness, std::chrono::steady_clock::now());
}

void StoreFollower::run()
{
    while (!this->stopping.load()) {
        if (this->followRelay()) {
            continue;
        }
        // While the store is away, the cheaper renewals of the lease show when it is back.
        if (this->health.isReachable() && this->tryStore()) {
            continue;
        }
        if (this->stopping.load()) {
            return;
        }
        this->setRelaying(false);
        this->troubledUntil = std::chrono::steady_clock::now() + TroubledTime;
        this->askPeers();
        this->pause(PeerPeriod);
    }
}

bool StoreFollower::tryStore()
{
    try {
        this->followStore();
        this->cutWatches = 0;
        return true;
    } catch (const Error &error) {
        const TimePoint now = std::chrono::steady_clock::now();
        this->troubledUntil = now + TroubledTime;
        if (++this->cutWatches <= MaxCutWatches && this->health.isReachable()) {
            LogLine("watch_cut", LogLevel::Warning).add("error", error.what());
            return !this->stopping.load();
        }
        this->health.failed(error.what(), now);
        return false;
    }
}

bool StoreFollower::followRelay()
{
    const auto relay = this->findRelay();
    if (!relay || std::chrono::steady_clock::now() < this->relayAvoidedUntil) {
        return false;
    }
    this->setRelaying(false);
    HttpMetadataStore source(*relay, RelayTimeout, [this] { return this->stopping.load(); });
    const TimePoint start = std::chrono::steady_clock::now();
    try {
        if (this->synchronized) {
            this->watch(source, RelayWait);
        } else {
            this->readAll(source, "relay", ReadMode::Linearizable);
        }
        this->relayRefusals = 0;
        return true;
    } catch (const Error &error) {
        const TimePoint now = std::chrono::steady_clock::now();
        if (now - start < RefusalTime && ++this->relayRefusals < MaxRefusals) {
            this->pause(RefusalPause);
            return true;
        }
        LogLine("relay_lost", LogLevel::Warning)
            .add("relay", relay->toString())
            .add("error", error.what());
        this->relayRefusals = 0;
        this->relayAvoidedUntil = now + RelayAvoidTime;
        this->troubledUntil = now + TroubledTime;
        return false;
    }
}

std::optional<Endpoint> StoreFollower::findRelay()
{
    const std::lock_guard lock(this->mutex);
    // Members come in the order of their ids, which is the same everywhere.
    for (const auto &[id, member] : this->registry.listedMembers()) {
        if (member.zone == this->options.zone) {
            const bool own = id == this->options.self;
            return own ? std::nullopt : std::optional(member.agentEndpoint);
        }
    }
    return std::nullopt;
}

bool StoreFollower::isFirstEntry()
{
    const std::lock_guard lock(this->mutex);
    const auto &members = this->registry.listedMembers();
    return members.empty() || (members.size() == 1 && members.contains(this->options.self));
}

void StoreFollower::followStore()
{
    HttpMetadataStore source(this->options.store, StoreTimeout, [this] {
        return this->stopping.load() || !this->health.isReachable();
    });
    if (!this->synchronized) {
        // The first watch brings what a stale copy lacks, and a stale read costs a tenth.
        const bool first = this->snapshot(ReadMode::AllowStale).asOf.value() == 0;
        this->readAll(source, "store", first ? ReadMode::AllowStale : ReadMode::Linearizable);
        if (this->isFirstEntry()) {
            // While the fleet starts, a list of only some entries would name different relays.
            this->pause(BatchTime);
        }
    } else {
        // Entries that saw the same list ask this one already.
        this->setRelaying(!this->findRelay());
        const bool troubled = std::chrono::steady_clock::now() < this->troubledUntil;
        this->watch(source, troubled ? TroubledWatchWait : WatchWait);
        this->pause(BatchTime);
    }
    this->health.succeeded(std::chrono::steady_clock::now());
    this->setRelaying(!this->findRelay());
}

void StoreFollower::readAll(HttpMetadataStore &source, std::string_view name, ReadMode mode)
{
    const StoreRange range = source.range("", mode);
    const DeletionMeaning meaning = this->meaningOfDeletions();
    bool changed = false;
    {
        const std::lock_guard lock(this->mutex);
        if (range.asOf < this->registry.revision()) {
            throw UnavailableError("the copy of the " + std::string(name) + " is older than ours",
                                   "wait until it has caught up");
        }
        changed = this->registry.replaceAll(range, meaning, std::chrono::steady_clock::now());
    }
    this->synchronized = true;
    LogLine("items_read")
        .add("source", name)
        .add("items", range.items.size())
        .add("revision", range.asOf.value())
        .add("changed", changed);
    this->publish(changed);
}

void StoreFollower::watch(HttpMetadataStore &source, std::chrono::milliseconds longest)
{
    std::chrono::milliseconds wait = longest;
    StoreRevision after;
    {
        const std::lock_guard lock(this->mutex);
        after = this->registry.revision();
        if (const auto lapse = this->registry.nextLapse()) {
            const auto left = std::chrono::ceil<std::chrono::milliseconds>(
                *lapse - std::chrono::steady_clock::now());
            wait = std::clamp(left, std::chrono::milliseconds(1), longest);
        }
    }
    const StoreChanges changes = source.watch("", after, wait, ReadMode::Linearizable);
    if (changes.historyLost) {
        LogLine("history_lost", LogLevel::Warning).add("revision", after.value());
        this->synchronized = false;
        this->troubledUntil = std::chrono::steady_clock::now() + TroubledTime;
        return;
    }
    bool changed = false;
    {
        const TimePoint now = std::chrono::steady_clock::now();
        const std::lock_guard lock(this->mutex);
        changed = this->registry.apply(changes, this->meaningOfDeletions(), now);
        changed |= this->registry.dropLapsed(now);
    }
    this->publish(changed);
}

DeletionMeaning StoreFollower::meaningOfDeletions() const
{
    const bool afterOutage
        = this->health.failedWithin(LapseWindow, std::chrono::steady_clock::now());
    return afterOutage ? DeletionMeaning::Lapsed : DeletionMeaning::Final;
}

void StoreFollower::askPeers()
{
    std::size_t asked = 0;
    for (const Endpoint &peer : this->peersInOrder()) {
        if (this->stopping.load() || ++asked > PeersPerRound) {
            return;
        }
        try {
            this->readCopy(peer);
            return;
        } catch (const Error &error) {
            LogLine("peer_failed", LogLevel::Warning)
                .add("peer", peer.toString())
                .add("error", error.what());
        }
    }
}

void StoreFollower::readCopy(const Endpoint &peer)
{
    HttpMetadataStore copy(peer, PeerTimeout, [this] { return this->stopping.load(); });
    StoreRevision before;
    {
        const std::lock_guard lock(this->mutex);
        before = this->registry.revision();
    }
    StoreChanges changes;
    changes.historyLost = before.value() == 0;
    if (!changes.historyLost) {
        changes = copy.watch("", before, PeerWait, ReadMode::AllowStale);
    }
    StoreRange range;
    if (changes.historyLost) {
        range = copy.range("", ReadMode::AllowStale);
    }
    bool changed = false;
    {
        const TimePoint now = std::chrono::steady_clock::now();
        const std::lock_guard lock(this->mutex);
        if (!changes.historyLost) {
            changed = this->registry.apply(changes, DeletionMeaning::Final, now);
        } else if (range.asOf >= before) {
            changed = this->registry.replaceAll(range, DeletionMeaning::Final, now);
            this->synchronized = true;
        }
        changed |= this->registry.dropLapsed(now);
    }
    this->publish(changed);
    if (changed) {
        LogLine("peer_read").add("peer", peer.toString()).add("after", before.value());
    }
}

std::vector<Endpoint> StoreFollower::peersInOrder()
{
    std::vector<Member> members;
    {
        const std::lock_guard lock(this->mutex);
        for (const auto &[id, member] : this->registry.listedMembers()) {
            if (id != this->options.self) {
                members.push_back(member);
            }
        }
    }
    for (std::size_t i = members.size(); i > 1; --i) {
        std::swap(members[i - 1], members[this->random.below(i)]);
    }
    std::stable_partition(members.begin(), members.end(), [&](const Member &member) {
        return member.region == this->options.region;
    });
    std::vector<Endpoint> peers;
    peers.reserve(members.size());
    for (const Member &member : members) {
        peers.push_back(member.agentEndpoint);
    }
    // The whole region may be cut off, so every other question goes elsewhere.
    if (peers.size() > 1 && this->random.below(2) == 0) {
        std::swap(peers.front(), peers[this->random.below(peers.size())]);
    }
    return peers.empty() ? this->options.seeds : peers;
}

void StoreFollower::publish(bool changed)
{
    FleetState state;
    bool registered = false;
    {
        const std::lock_guard lock(this->mutex);
        registered = this->registry.hasMember(this->options.self);
        if (changed) {
            state = this->registry.state();
        }
    }
    if (changed) {
        this->events.stateChanged(std::move(state));
    }
    // Deletions change nothing here while they may only be lapses, but other entries see them.
    this->events.copyChanged();
    if (this->synchronized && !registered) {
        this->events.registrationMissing();
    }
}

void StoreFollower::setRelaying(bool newRelaying)
{
    if (this->relaying.exchange(newRelaying) != newRelaying) {
        LogLine("relaying_changed").add("relaying", newRelaying);
        this->events.relayingChanged(newRelaying);
    }
}

void StoreFollower::pause(Duration time)
{
    const TimePoint end = std::chrono::steady_clock::now() + time;
    while (!this->stopping.load()) {
        const Duration left = end - std::chrono::steady_clock::now();
        if (left <= Duration::zero()) {
            return;
        }
        std::this_thread::sleep_for(std::min<Duration>(left, PauseStep));
    }
}

} // namespace bronzeshed
