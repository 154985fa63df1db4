#include "gateway/storefollower.h"

#include "base/error.h"
#include "base/logline.h"

#include <algorithm>

namespace bronzeshed {

namespace {

constexpr std::chrono::milliseconds StoreTimeout{1000};
/** Half of the time that the store lets a watch wait. */
constexpr std::chrono::milliseconds WatchWait{15000};
/** Changes within this time share one call of the watch, since each call is paid for. */
constexpr std::chrono::milliseconds BatchTime{400};
/** An instance without the store must learn of changes within a few seconds. */
constexpr std::chrono::milliseconds PeerPeriod{500};
constexpr std::chrono::milliseconds PeerTimeout{300};
constexpr std::size_t PeersPerRound = 2;
/** Keys that vanish so soon after an outage may only have lapsed. */
constexpr std::chrono::seconds LapseWindow{4};
constexpr std::chrono::milliseconds PauseStep{50};

} // namespace

StoreFollower::StoreFollower(FollowerOptions given, StoreHealth &health, Sink sink,
                             std::function<void()> ownKeyMissing)
    : options(std::move(given))
    , health(health)
    , sink(std::move(sink))
    , ownKeyMissing(std::move(ownKeyMissing))
    , store(this->options.store, StoreTimeout, [this] { return this->isCancelled(); })
    , random(makeSystemRandom())
    , registry(this->options.regions)
    , thread([this] { this->run(); })
{
}

StoreFollower::~StoreFollower()
{
    this->stop();
}

void StoreFollower::stop()
{
    this->stopping.store(true);
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

StoreRange StoreFollower::snapshot()
{
    const std::lock_guard lock(this->mutex);
    return this->registry.snapshot();
}

void StoreFollower::run()
{
    while (!this->stopping.load()) {
        try {
            this->follow();
            continue;
        } catch (const Error &error) {
            if (this->stopping.load()) {
                return;
            }
            this->health.failed(error.what(), std::chrono::steady_clock::now());
        }
        this->synchronized = false;
        this->askPeers();
        this->pause(PeerPeriod);
    }
}

void StoreFollower::follow()
{
    if (!this->health.isReachable() || !this->synchronized) {
        this->readAll();
        return;
    }
    this->waitForChanges();
    this->pause(BatchTime);
}

void StoreFollower::readAll()
{
    HttpMetadataStore reader(this->options.store, StoreTimeout,
                             [this] { return this->stopping.load(); });
    const StoreRange range = reader.range("", ReadMode::Linearizable);
    const TimePoint now = std::chrono::steady_clock::now();
    const DeletionMeaning meaning = this->meaningOfDeletions();
    this->health.succeeded(now);
    bool changed = false;
    {
        const std::lock_guard lock(this->mutex);
        changed = this->registry.replaceAll(range, meaning, now);
    }
    this->synchronized = true;
    LogLine("store_read")
        .add("items", range.items.size())
        .add("revision", range.asOf.value())
        .add("changed", changed);
    this->publish(changed);
}

void StoreFollower::waitForChanges()
{
    const TimePoint before = std::chrono::steady_clock::now();
    std::chrono::milliseconds wait = WatchWait;
    StoreRevision after;
    {
        const std::lock_guard lock(this->mutex);
        after = this->registry.revision();
        if (const auto lapse = this->registry.nextLapse()) {
            const auto left = std::chrono::ceil<std::chrono::milliseconds>(*lapse - before);
            wait = std::clamp(left, std::chrono::milliseconds(1), WatchWait);
        }
    }
    const StoreChanges changes = this->store.watch("", after, wait);
    const TimePoint now = std::chrono::steady_clock::now();
    this->health.succeeded(now);
    if (changes.historyLost) {
        LogLine("store_history_lost", LogLevel::Warning).add("revision", after.value());
        this->synchronized = false;
        return;
    }
    bool changed = false;
    {
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
            HttpMetadataStore copy(peer, PeerTimeout, [this] { return this->stopping.load(); });
            const StoreRange range = copy.range("", ReadMode::AllowStale);
            bool changed = false;
            {
                const std::lock_guard lock(this->mutex);
                if (range.asOf < this->registry.revision()) {
                    continue;
                }
                changed = this->registry.replaceAll(range, DeletionMeaning::Final,
                                                    std::chrono::steady_clock::now());
            }
            this->publish(changed);
            if (changed) {
                LogLine("peer_read")
                    .add("peer", peer.toString())
                    .add("revision", range.asOf.value());
            }
            return;
        } catch (const Error &error) {
            LogLine("peer_failed", LogLevel::Warning)
                .add("peer", peer.toString())
                .add("error", error.what());
        }
    }
}

std::vector<Endpoint> StoreFollower::peersInOrder()
{
    std::vector<Member> members;
    {
        const std::lock_guard lock(this->mutex);
        members = this->registry.state().members;
    }
    std::erase_if(members, [&](const Member &member) { return member.id == this->options.self; });
    for (std::size_t i = members.size(); i > 1; --i) {
        std::swap(members[i - 1], members[this->random.below(i)]);
    }
    std::stable_partition(members.begin(), members.end(), [&](const Member &member) {
        return member.region == this->options.region;
    });
    std::vector<Endpoint> peers;
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
        this->sink(std::move(state));
    }
    if (this->synchronized && !registered) {
        this->ownKeyMissing();
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
